//! Listening sockets, and the socket options of all connections.

use std::io;
use std::net::SocketAddr;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::{ListenError, USER_TIMEOUT};

/// Maximum number of connections that the operating system queues until they are accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Listens at `address` with `SO_REUSEADDR`, so that a restarted process can use the address at
/// once.
///
/// # Errors
/// [`ListenError`] if the operating system refuses the address.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    bind_and_listen(address).map_err(|source| ListenError { address, source })
}

fn bind_and_listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Sets the options of a connection: small frames are sent without delay (`TCP_NODELAY`), and the
/// connection fails if the peer does not acknowledge sent bytes within [`USER_TIMEOUT`]
/// (`TCP_USER_TIMEOUT`, RFC 5482).
///
/// # Errors
/// Errors of the operating system.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}
