//! Opens connections to targets. Called by [`crate::target_client`] and [`crate::health_check`].

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use plankhill_protocol::transport::set_socket_options;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::target_pool::{ConnectionDriver, OpenPermit, TargetConnection};

/// The interval of TCP keep-alive probes. A target that has lost power does not respond: after
/// [`MAX_KEEPALIVE_PROBES`] unanswered probes the connection fails.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection fails; see
/// [`KEEPALIVE_INTERVAL`].
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Connects and starts the task that drives the connection; the task ends with the connection.
///
/// # Errors
/// An error of the operating system, or of the HTTP handshake.
pub async fn connect(address: SocketAddr, permit: OpenPermit) -> io::Result<TargetConnection> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    let handshake = http1::handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    let driver = ConnectionDriver(tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "target connection failed");
        }
    }));
    Ok(TargetConnection {
        sender,
        reused: false,
        driver,
        permit,
    })
}
