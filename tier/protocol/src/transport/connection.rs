//! Opens and accepts connections, and exchanges the greetings.

use std::future::Future;
use std::net::SocketAddr;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{
    connect, set_socket_options, FrameReader, FrameWriter, Hello, TransportError, DIAL_TIMEOUT,
    PROTOCOL_VERSION,
};

/// A connection on which both greetings have been exchanged.
pub struct Connection {
    /// The peer's greeting.
    pub peer: Hello,
    /// The peer's address.
    pub address: SocketAddr,
    /// The reader of incoming messages.
    pub reader: FrameReader,
    /// The writer of outgoing messages.
    pub writer: FrameWriter,
}

/// Connects to `address` and exchanges greetings, within [`DIAL_TIMEOUT`].
///
/// # Errors
/// [`TransportError`]; in this case, the peer has received nothing or only `hello`.
pub async fn dial(address: SocketAddr, hello: &Hello) -> Result<Connection, TransportError> {
    let dialing = async {
        let stream = connect(address).await?;
        exchange_greetings(stream, address, hello).await
    };
    within_dial_timeout(dialing).await
}

/// Exchanges greetings on an accepted `stream` from `address`, within [`DIAL_TIMEOUT`].
///
/// # Errors
/// [`TransportError`] if the peer closes the connection, exceeds the timeout, or uses another
/// protocol version.
pub async fn accept(
    stream: TcpStream,
    address: SocketAddr,
    hello: &Hello,
) -> Result<Connection, TransportError> {
    within_dial_timeout(exchange_greetings(stream, address, hello)).await
}

async fn within_dial_timeout(
    connecting: impl Future<Output = Result<Connection, TransportError>>,
) -> Result<Connection, TransportError> {
    match timeout(DIAL_TIMEOUT, connecting).await {
        Ok(connected) => connected,
        Err(_elapsed) => Err(TransportError::DialTimeout),
    }
}

async fn exchange_greetings(
    stream: TcpStream,
    address: SocketAddr,
    hello: &Hello,
) -> Result<Connection, TransportError> {
    set_socket_options(&stream)?;
    let (read_half, write_half) = stream.into_split();
    let mut reader = FrameReader::new(read_half);
    let mut writer = FrameWriter::new(write_half);
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
