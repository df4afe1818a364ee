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

/// Path of the question whether a proxy takes new clients.
const READY_PATH: &str = "/-/ready";

/// Pause between two questions.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// Longest wait for an answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// All proxies, and which of them take new clients.
#[derive(Debug)]
pub(crate) struct Front {
    proxies: Vec<Proxy>,
}

#[derive(Debug)]
struct Proxy {
    http: SocketAddr,
    readiness: SocketAddr,
    ready: AtomicBool,
}

impl Front {
    /// The proxies on `edges`, none ready yet.
    pub(crate) fn new(edges: &[Machine]) -> Arc<Front> {
        let proxy = |edge: &Machine| Proxy {
            http: edge.http(),
            readiness: edge.readiness(),
            ready: AtomicBool::new(false),
        };
        Arc::new(Front {
            proxies: edges.iter().map(proxy).collect(),
        })
    }

    /// Asks every proxy again and again whether it is ready.
    pub(crate) fn watch(self: &Arc<Front>) {
        for place in 0..self.proxies.len() {
            tokio::spawn(self.clone().watch_one(place));
        }
    }

    async fn watch_one(self: Arc<Front>, place: usize) {
        let proxy = &self.proxies[place];
        loop {
            proxy
                .ready
                .store(is_ready(proxy.readiness).await, Ordering::Relaxed);
            sleep(ASK_PAUSE).await;
        }
    }

    /// Number of proxies that take new clients.
    pub(crate) fn ready(&self) -> usize {
        self.proxies
            .iter()
            .filter(|proxy| proxy.ready.load(Ordering::Relaxed))
            .count()
    }

    /// Number of proxies.
    pub(crate) fn len(&self) -> usize {
        self.proxies.len()
    }

    /// The proxy for try `number`; any if none is ready.
    pub(crate) fn choose(&self, number: usize) -> SocketAddr {
        let ready: Vec<&Proxy> = self
            .proxies
            .iter()
            .filter(|proxy| proxy.ready.load(Ordering::Relaxed))
            .collect();
        match ready.is_empty() {
            true => self.proxies[number % self.proxies.len()].http,
            false => ready[number % ready.len()].http,
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = hyper::Uri::from_static(READY_PATH);
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    matches!(call(address, request, ASK_TIMEOUT).await, Ok(answer) if answer.status == StatusCode::OK)
}
