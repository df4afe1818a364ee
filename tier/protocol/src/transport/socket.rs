//! Listening sockets, and the options of every connection.

use std::io;
use std::net::SocketAddr;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::{ListenError, USER_TIMEOUT};

/// Connections that the operating system holds until they are accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Listens at `address`, which a process that is started again can use at once.
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

/// Sets the options of every connection: small frames are sent without delay, and a peer that does
/// not acknowledge for [`USER_TIMEOUT`] breaks the connection (`TCP_USER_TIMEOUT`, RFC 5482).
///
/// # Errors
/// The operating system's.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}
