//! TCP connections of the server, and waits with a time limit. Used by every task that has a
//! connection.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use async_io::{Async, Timer};
use futures_lite::future;

/// Longest body of an event, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Longest head of a request or response, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Size of a buffer: the longest body and its head.
pub const BUFFER_BYTES: usize = MAX_BODY_BYTES + MAX_HEAD_BYTES;

/// A TCP connection on the executor's reactor.
pub type Stream = Async<TcpStream>;

/// The body of an event, without spare capacity; calls share it with the event.
pub type Body = Rc<[u8]>;

/// Connects without a time limit of its own.
///
/// # Errors
/// Error of the system if the connection is refused or the address cannot be reached.
pub async fn connect(address: SocketAddr) -> io::Result<Stream> {
    let stream = Stream::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}

/// Waits for the future until `deadline`; `None` at a timeout. The output of a future that is ready
/// at the deadline is still returned.
pub async fn until<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let completed = async { Some(future.await) };
    let timed_out = async {
        Timer::at(deadline).await;
        None
    };
    future::or(completed, timed_out).await
}

/// Data that can be read from a connection without waiting.
enum Readable {
    Nothing,
    Bytes,
    /// The peer has closed its side, or the connection has failed.
    End,
}

fn readable(stream: &Stream) -> Readable {
    match stream.get_ref().peek(&mut [0]) {
        Ok(0) => Readable::End,
        Ok(_) => Readable::Bytes,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Readable::Nothing,
        Err(_) => Readable::End,
    }
}

/// Whether a connection is open and has no bytes to read.
pub fn is_open_without_data(stream: &Stream) -> bool {
    matches!(readable(stream), Readable::Nothing)
}

/// Whether the peer has closed its side, or the connection has failed.
pub fn is_closed_by_peer(stream: &Stream) -> bool {
    matches!(readable(stream), Readable::End)
}
