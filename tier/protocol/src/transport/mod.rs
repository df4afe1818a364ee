//! Connections inside the tier: `postcard` messages in frames of a 4-byte little-endian length, after one
//! [`Hello`] each way. A peer that does not take bytes for [`USER_TIMEOUT`] breaks the connection.

mod caller;
mod connect;
mod frame;
mod server;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

pub use caller::{CallError, Caller};
pub use connect::connect;
pub use frame::{FrameReader, FrameWriter};
pub use server::serve_calls;

use crate::ids::NodeId;

/// Version of everything in this package. Other versions are refused at the start of a connection.
pub const PROTOCOL_VERSION: u32 = 2;
/// Unacknowledged bytes break a connection after this time; well under the contact bound of deployments (3 s).
pub const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A connection that takes longer to come up counts as failed.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(800);
/// The largest frame, in bytes: a snapshot with a large configuration, with room to grow.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Channel {
    /// Between members of the chain.
    Chain,
    /// Subscriptions to the control plane.
    Feed,
    /// Calls to a store.
    Store,
    /// Between agents.
    Peer,
    /// From a controller to the head of the chain: whom it has heard.
    Liveness,
}

/// The first frame on each side of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub version: u32,
    /// What the connection is for.
    pub channel: Channel,
    /// The sending machine.
    pub node: NodeId,
}

impl Hello {
    /// A greeting of this version.
    pub fn new(channel: Channel, node: NodeId) -> Self {
        Hello {
            version: PROTOCOL_VERSION,
            channel,
            node,
        }
    }
}

/// What went wrong on a connection. The connection is of no further use.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The operating system reported an error, or the peer closed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// A frame longer than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes; at most {MAX_FRAME_BYTES}")]
    FrameTooLong(usize),
    /// Bytes that are no message of the expected type.
    #[error("message: {0}")]
    Message(#[from] postcard::Error),
    /// The peer speaks another version.
    #[error("peer speaks protocol version {0}, this is {PROTOCOL_VERSION}")]
    Version(u32),
    /// No answer in time.
    #[error("no connection within {} ms", DIAL_TIMEOUT.as_millis())]
    DialTimeout,
}

/// Both halves of a greeted connection.
pub struct Connection {
    /// What the peer said of itself.
    pub peer: Hello,
    /// Where the peer is.
    pub address: SocketAddr,
    /// Incoming messages.
    pub reader: FrameReader,
    /// Outgoing messages.
    pub writer: FrameWriter,
}

/// Connects and greets.
///
/// # Errors
/// As [`TransportError`] says; nothing of the caller's has been sent then.
pub async fn dial(address: SocketAddr, hello: &Hello) -> Result<Connection, TransportError> {
    let connecting = async {
        let stream = connect(address).await?;
        greet(stream, address, hello).await
    };
    tokio::time::timeout(DIAL_TIMEOUT, connecting)
        .await
        .map_err(|_| TransportError::DialTimeout)?
}

/// Accepts one connection and greets; the caller passes the stream of its listener.
///
/// # Errors
/// As [`TransportError`] says.
pub async fn accept(
    stream: TcpStream,
    address: SocketAddr,
    hello: &Hello,
) -> Result<Connection, TransportError> {
    tokio::time::timeout(DIAL_TIMEOUT, greet(stream, address, hello))
        .await
        .map_err(|_| TransportError::DialTimeout)?
}

/// Listens where a restarted process can listen again at once.
///
/// # Errors
/// The operating system's.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

/// Options for every connection: no delay of small frames, and an end to silent peers.
///
/// # Errors
/// The operating system's.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

async fn greet(
    stream: TcpStream,
    address: SocketAddr,
    hello: &Hello,
) -> Result<Connection, TransportError> {
    set_socket_options(&stream)?;
    let (read, write) = stream.into_split();
    let (mut reader, mut writer) = (FrameReader::new(read), FrameWriter::new(write));
    writer.send(hello).await?;
    let peer: Hello = reader.next().await?;
    if peer.version != PROTOCOL_VERSION {
        return Err(TransportError::Version(peer.version));
    }
    Ok(Connection {
        peer,
        address,
        reader,
        writer,
    })
}
