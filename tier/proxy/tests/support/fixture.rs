//! The proxy under test.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use plankhill_protocol::ids::{InstanceId, Revision, ServiceName, ZoneName};
use plankhill_protocol::tables::{ConfigurationText, Tables, Target, TargetState};
use plankhill_proxy::admission::Admission;
use plankhill_proxy::clock::Clock;
use plankhill_proxy::lifecycle::Lifecycle;
use plankhill_proxy::memory_budget::MemoryBudget;
use plankhill_proxy::process::Proxy;
use plankhill_proxy::snapshot::SnapshotCell;
use plankhill_proxy::target_client::TargetClient;
use plankhill_proxy::target_pool::TargetPool;
use plankhill_proxy::{listener, readiness};
use serde_json::{json, Value};
use tokio::net::TcpListener;

use super::peer::{Message, Peer, ScriptedTarget};
use super::round_robin::RoundRobinDispatcher;
use super::stores::{InMemoryTurnStore, Stores};

/// Maximum number of simultaneous client connections.
const MAX_CLIENTS: usize = 64;

/// Memory budget for bodies, in bytes.
const BODY_MEMORY_BYTES: usize = 250_000;

/// A running proxy with its addresses and stores.
pub struct ProxyFixture {
    pub proxy: Rc<Proxy>,
    pub stores: Rc<Stores>,
    pub client_address: SocketAddr,
    pub readiness_address: SocketAddr,
}

impl ProxyFixture {
    /// Starts a proxy that has no tables yet.
    pub async fn unready() -> ProxyFixture {
        ProxyFixture::unready_with_stores(Rc::default()).await
    }

    async fn unready_with_stores(stores: Rc<Stores>) -> ProxyFixture {
        let clock = Clock::start();
        let pool = Rc::new(TargetPool::default());
        let (health_checks, _) = tokio::sync::mpsc::unbounded_channel();
        let dispatcher = Box::new(RoundRobinDispatcher::default());
        let proxy = Rc::new(Proxy {
            clock,
            snapshots: SnapshotCell::default(),
            admission: Rc::new(Admission::new(
                clock,
                dispatcher,
                pool.clone(),
                health_checks,
            )),
            target_client: TargetClient { clock, pool },
            turns: Rc::new(InMemoryTurnStore(stores.clone())),
            memory: Rc::new(MemoryBudget::new(BODY_MEMORY_BYTES)),
            lifecycle: Rc::new(Lifecycle::default()),
        });
        let (client_listener, client_address) = bind_listener().await;
        let (ready_listener, readiness_address) = bind_listener().await;
        tokio::task::spawn_local(listener::serve(proxy.clone(), client_listener, MAX_CLIENTS));
        tokio::task::spawn_local(readiness::serve(proxy.clone(), ready_listener));
        ProxyFixture {
            proxy,
            stores,
            client_address,
            readiness_address,
        }
    }

    /// Starts a proxy with these targets, named t0, t1 and so on, and the routes of
    /// [`configuration`].
    pub async fn with_targets(targets: &[&ScriptedTarget]) -> ProxyFixture {
        ProxyFixture::with_stores(targets, Rc::default()).await
    }

    /// Starts a proxy with these targets and stores, which other proxies may use too.
    pub async fn with_stores(targets: &[&ScriptedTarget], stores: Rc<Stores>) -> ProxyFixture {
        let fixture = ProxyFixture::unready_with_stores(stores).await;
        let addresses: Vec<SocketAddr> = targets.iter().map(|target| target.address()).collect();
        fixture.set_tables(tables(&addresses, &configuration()));
        fixture.proxy.lifecycle.mark_tables_current();
        fixture
    }

    /// Starts a proxy with one target.
    pub async fn with_one_target() -> (ScriptedTarget, ProxyFixture) {
        let target = ScriptedTarget::start().await;
        let fixture = ProxyFixture::with_targets(&[&target]).await;
        (target, fixture)
    }

    pub fn set_tables(&self, tables: Tables) {
        self.proxy.snapshots.replace(Arc::new(tables));
        self.proxy
            .admission
            .on_tables_changed(&self.proxy.snapshots.newest());
    }

    pub async fn client(&self) -> Peer {
        Peer::connect(self.client_address).await
    }

    /// Sends one request over a separate connection.
    pub async fn send_request(&self, request: &str) -> Option<Message> {
        let mut client = self.client().await;
        client.send(request).await;
        client.receive().await
    }

    /// Sends one request over a separate connection and checks the body of its response.
    pub async fn expect_body(&self, request: &str, body: &str) {
        let response = self.send_request(request).await.expect("a response");
        assert_eq!(response.text(), body);
    }

    /// Sends a request to which the target, the second peer, responds with the head of a stream and
    /// the event 1 with data `a`; the client, the first peer, has received the head.
    pub async fn begin_stream(&self, target: &ScriptedTarget, request: &str) -> (Peer, Peer) {
        let mut client = self.client().await;
        client.send(request).await;
        let (mut peer, _) = target.accept_request().await;
        peer.send(&(stream_head("r1", "s") + &chunk(&event(1, "a"))))
            .await;
        assert!(client.read_head().await.is_some());
        (client, peer)
    }
}

async fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Routes `/once/`, `/again/`, `/stream/`, `/resume/`, `/kept/` and `/kept-resume/` at `host.example`.
pub fn configuration() -> Value {
    let route = |name: &str, kind: &str, retained: bool, resumable: bool| {
        json!({"name": name, "host": "host.example", "path_prefix": format!("/{name}/"), "type": kind,
            "timeout_ms": 20_000, "target_latency_ms": 250, "priority": 1, "service": "service",
            "max_attempts": 2, "retained": retained, "retention_s": 60.0, "session_affinity": false,
            "resumable": resumable})
    };
    let routes = [
        route("once", "non_idempotent", false, false),
        route("again", "idempotent", false, false),
        route("stream", "streaming", false, false),
        route("resume", "streaming", false, true),
        route("kept", "streaming", true, false),
        route("kept-resume", "streaming", true, true),
    ];
    json!({"version": 1, "routes": routes,
        "services": [{"name": "service", "health_check": "/healthz", "max_connections": 100, "protocol": "h1",
            "tls": false, "engine": {"capacity": 8, "kv_capacity": 1000, "chunk_size": 3, "models": []}}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000}})
}

pub fn tables(targets: &[SocketAddr], configuration: &Value) -> Tables {
    let target = |(number, address): (usize, &SocketAddr)| Target {
        id: InstanceId::from(format!("t{number}").as_str()),
        service: ServiceName::from("service"),
        address: *address,
        zone: ZoneName::from("zone"),
        capacity: 8,
        state: TargetState::Healthy,
        sequence: 1,
        warm_up_remaining_ms: 0,
        models: Vec::new(),
    };
    let document: Arc<[u8]> = Arc::from(configuration.to_string().into_bytes());
    Tables {
        revision: Revision(1),
        configuration: Some(ConfigurationText {
            version: 1,
            document: document.into(),
        }),
        targets: targets.iter().enumerate().map(target).collect(),
        ..Tables::default()
    }
}

/// A request without a body to one of the routes.
pub fn get(route: &str, id: &str) -> String {
    format!(
        "GET /{route}/x?y=1 HTTP/1.1\r\nHost: host.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 9000\r\n\r\n"
    )
}

/// A request with a body for a turn of a program.
pub fn turn(route: &str, id: &str, more_headers: &str, body: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: host.example\r\nRequest-Id: {id}\r\nProgram: p\r\nSession: s\r\n\
         Budget: 100\r\nToken-Usage: 50,33\r\nDeadline-Ms: 9000\r\n{more_headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A target's response.
pub fn target_response(status: &str, id: &str, more_headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nUpstream-Signature: stamp-{id}\r\n{more_headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The head of a target's stream.
pub fn stream_head(id: &str, signature: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: {signature}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

/// One chunk of a body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// One event.
pub fn event(id: u64, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// The end of a chunked body.
pub const LAST_CHUNK: &str = "0\r\n\r\n";
