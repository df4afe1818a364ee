//! One controller on a thread, and a call to it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
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
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};

use super::Answered;

/// Ports that the operating system does not give to outgoing connections by itself.
const PORTS: std::ops::Range<u16> = 18_000..30_000;

/// One call over a connection of its own.
pub async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Answered> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// A free address, another one with every call.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let span = PORTS.end - PORTS.start;
    // Tests of several processes begin at different places.
    let first = (std::process::id() % u32::from(span)) as u16;
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(first) % span;
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + offset));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// One controller on this thread, until it is killed.
pub fn run(settings: ReplicaSettings, admin: SocketAddr, killed: oneshot::Receiver<()>) {
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
        let (_ending, ended) = watch::channel(false);
        start_tasks(&controller, listeners, Duration::from_millis(1_200), ended);
        // Resolves also when the test has gone.
        let _ = killed.await;
    });
}
