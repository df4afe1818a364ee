//! Runs one controller on a thread, and sends requests to it.

use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use plankhill_control::ControlState;
use plankhill_controller::tasks::{start_tasks, Listeners};
use plankhill_controller::Controller;
use plankhill_protocol::transport::listen;
use plankhill_replica::{start, ReplicaHandle, ReplicaSettings};
use plankhill_test_relay::LoopbackNetwork;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};

use super::HttpResponse;

/// Sends one request over a new connection; `None` if no response was received.
pub async fn send_request(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<HttpResponse> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Returns a new loopback address that is reserved for this test process.
pub fn free_address() -> SocketAddr {
    static NETWORK: LazyLock<LoopbackNetwork> = LazyLock::new(LoopbackNetwork::reserve);
    NETWORK.next_address()
}

/// Runs one controller on the current thread until it is killed.
pub fn run_controller(settings: ReplicaSettings, admin: SocketAddr, killed: oneshot::Receiver<()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let set = tokio::task::LocalSet::new();
    set.block_on(&runtime, async move {
        let (node, address) = (settings.node.clone(), settings.address);
        let log: ReplicaHandle<ControlState> = start(settings).unwrap();
        let controller = Controller::new(node, 1, log);
        let listeners = Listeners {
            admin: listen(admin).unwrap(),
            internal: listen(address).unwrap(),
        };
        let (_shut_down, shutting_down) = watch::channel(false);
        start_tasks(
            &controller,
            listeners,
            Duration::from_millis(1_200),
            shutting_down,
        );
        // Also resolves when the test has ended and dropped the sender.
        let _ = killed.await;
    });
}
