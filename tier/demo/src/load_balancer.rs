//! Chooses a proxy for each connection, like the platform's load balancer in front of the tier.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use tokio::time::sleep;

use crate::call::call;
use crate::layout::Machine;

/// Path of a proxy's readiness check.
const READY_PATH: &str = "/-/ready";

/// Time between two health checks of a proxy.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for the response to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// All proxies with their readiness.
#[derive(Debug)]
pub(crate) struct LoadBalancer {
    proxies: Vec<Proxy>,
}

#[derive(Debug)]
struct Proxy {
    http_address: SocketAddr,
    readiness_address: SocketAddr,
    ready: AtomicBool,
}

impl LoadBalancer {
    /// Creates a load balancer over the proxies on `edges`, initially without a ready proxy.
    pub(crate) fn new(edges: &[Machine]) -> Arc<LoadBalancer> {
        let proxy = |edge: &Machine| Proxy {
            http_address: edge.http_address(),
            readiness_address: edge.readiness_address(),
            ready: AtomicBool::new(false),
        };
        Arc::new(LoadBalancer {
            proxies: edges.iter().map(proxy).collect(),
        })
    }

    /// Starts one task per proxy, which checks the readiness of the proxy until the demo ends.
    pub(crate) fn start_health_checks(self: &Arc<LoadBalancer>) {
        for index in 0..self.proxies.len() {
            tokio::spawn(self.clone().check_health(index));
        }
    }

    async fn check_health(self: Arc<LoadBalancer>, index: usize) {
        let proxy = &self.proxies[index];
        loop {
            proxy
                .ready
                .store(is_ready(proxy.readiness_address).await, Ordering::Relaxed);
            sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }

    /// Number of ready proxies.
    pub(crate) fn ready_count(&self) -> usize {
        self.proxies
            .iter()
            .filter(|proxy| proxy.ready.load(Ordering::Relaxed))
            .count()
    }

    /// Number of proxies.
    pub(crate) fn len(&self) -> usize {
        self.proxies.len()
    }

    /// The HTTP address of the proxy at `index` modulo the number of ready proxies, or of all
    /// proxies if none is ready.
    pub(crate) fn choose_proxy(&self, index: usize) -> SocketAddr {
        let ready: Vec<&Proxy> = self
            .proxies
            .iter()
            .filter(|proxy| proxy.ready.load(Ordering::Relaxed))
            .collect();
        if ready.is_empty() {
            self.proxies[index % self.proxies.len()].http_address
        } else {
            ready[index % ready.len()].http_address
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = hyper::Uri::from_static(READY_PATH);
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    matches!(call(address, request, HEALTH_CHECK_TIMEOUT).await, Ok(response) if response.status == StatusCode::OK)
}
