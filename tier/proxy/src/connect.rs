//! Opens connections to targets.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use plankhill_protocol::transport::set_socket_options;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::target_pool::{Driver, OpenPermit, TargetConnection};

/// A target that has lost power answers no probe: after [`PROBES`] of them the connection breaks.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// See [`PROBE_EVERY`].
const PROBES: u32 = 2;

/// Connects and starts the task that drives the connection.
///
/// # Errors
/// The operating system's, or that of HTTP's start.
pub async fn connect(address: SocketAddr, permit: OpenPermit) -> io::Result<TargetConnection> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    SockRef::from(&stream).set_tcp_keepalive(&probes)?;
    let handshake = http1::handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    let driver = Driver(tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "connection to a target ended");
        }
    }));
    Ok(TargetConnection {
        sender,
        reused: false,
        driver,
        permit,
    })
}
