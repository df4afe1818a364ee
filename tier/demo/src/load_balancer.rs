//! Chooses a proxy for each connection, as the platform in front of the tier does.

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

/// Path of a proxy's readiness.
const READY_PATH: &str = "/-/ready";

/// Time between two health checks of a proxy.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for the answer to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// All proxies, and which of them take new clients.
#[derive(Debug)]
pub(crate) struct LoadBalancer {
    proxies: Vec<Proxy>,
}

#[derive(Debug)]
struct Proxy {
    http: SocketAddr,
    readiness: SocketAddr,
    ready: AtomicBool,
}

impl LoadBalancer {
    /// The proxies on `edges`, none ready yet.
    pub(crate) fn new(edges: &[Machine]) -> Arc<LoadBalancer> {
        let proxy = |edge: &Machine| Proxy {
            http: edge.http(),
            readiness: edge.readiness(),
            ready: AtomicBool::new(false),
        };
        Arc::new(LoadBalancer {
            proxies: edges.iter().map(proxy).collect(),
        })
    }

    /// Starts a task for each proxy that checks its readiness, for as long as the demo runs.
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
                .store(is_ready(proxy.readiness).await, Ordering::Relaxed);
            sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }

    /// Number of proxies that take new clients.
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

    /// The proxy for attempt `number`: one of the ready ones; any if none is ready.
    pub(crate) fn choose_proxy(&self, number: usize) -> SocketAddr {
        let ready: Vec<&Proxy> = self
            .proxies
            .iter()
            .filter(|proxy| proxy.ready.load(Ordering::Relaxed))
            .collect();
        if ready.is_empty() {
            self.proxies[number % self.proxies.len()].http
        } else {
            ready[number % ready.len()].http
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = hyper::Uri::from_static(READY_PATH);
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    matches!(call(address, request, HEALTH_CHECK_TIMEOUT).await, Ok(answer) if answer.status == StatusCode::OK)
}
