//! The lookup table of routes and services, built once per version.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use crate::{Configuration, Limits, Route, Service};

/// An immutable lookup table of the routes and services of one version.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    limits: Limits,
    hosts: HashMap<Box<str>, HostRoutes>,
    services: HashMap<Arc<str>, Arc<Service>>,
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    /// The distinct lengths of the prefixes in bytes, longest first.
    lengths: Vec<usize>,
    by_prefix: HashMap<Arc<str>, Arc<Route>>,
}

impl RouteTable {
    /// Builds the lookup table of a validated configuration.
    pub fn new(configuration: Configuration) -> RouteTable {
        let mut hosts: HashMap<Box<str>, HostRoutes> = HashMap::new();
        for route in configuration.routes {
            let host = normalized_host(&route.host).into_owned().into_boxed_str();
            hosts.entry(host).or_default().add(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_lengths();
        }
        let services = configuration
            .services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        RouteTable {
            version: configuration.version,
            limits: configuration.limits,
            hosts,
            services,
        }
    }

    /// Returns the route of a request: the route of its host with the longest matching path prefix.
    ///
    /// The case and port of `host` and the query and fragment of `path` are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        self.hosts.get(normalized_host(host).as_ref())?.find(path)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Iterates over all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Iterates over all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts
            .values()
            .flat_map(|routes| routes.by_prefix.values())
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on client requests and connections.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }
}

impl HostRoutes {
    fn add(&mut self, route: Arc<Route>) {
        self.lengths.push(route.path_prefix.len());
        self.by_prefix.insert(route.path_prefix.clone(), route);
    }

    fn sort_lengths(&mut self) {
        self.lengths.sort_unstable_by(|left, right| right.cmp(left));
        self.lengths.dedup();
    }

    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let bytes = path.as_bytes();
        let fitting = self.lengths.iter().filter(|length| **length <= bytes.len());
        let ending_in_slash = fitting.filter(|length| **length > 0 && bytes[**length - 1] == b'/');
        ending_in_slash
            .map(|length| &path[..*length])
            .find_map(|prefix| self.by_prefix.get(prefix))
    }
}

/// Returns the host in lower case, without its port.
pub(crate) fn normalized_host(host: &str) -> Cow<'_, str> {
    let name = without_port(host);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if is_port(port) && !is_partial_ipv6_address(name) => name,
        _ => host,
    }
}

fn is_port(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Returns whether `name` is an incomplete IPv6 address, which was split at one of the colons inside
/// its brackets.
fn is_partial_ipv6_address(name: &str) -> bool {
    name.starts_with('[') && !name.ends_with(']')
}
