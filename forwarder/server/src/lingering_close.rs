//! Lingering close, which ends every connection after its last response: the writing side is shut
//! down, bytes that still arrive are read and dropped within limits, then the connection is closed.
//! Closing a connection with unread bytes resets it, and a response that the peer has not read yet
//! is lost (RFC 9112, section 9.6). Bytes that are read here are never processed as a request.
//!
//! Used by the client connections and by the admin listener.

use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

use crate::stream::Stream;

/// Limit of the bytes that are read and dropped: three times the longest request. A peer that sends
/// more is not a client.
const MAX_DRAINED_BYTES: usize = 256 * 1024;
/// Size of the stack buffer for one read.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Shuts down the writing side, and returns once the peer has closed its side or has sent more than
/// `MAX_DRAINED_BYTES`. The caller limits the time.
pub async fn linger(stream: &Stream) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut budget = MAX_DRAINED_BYTES;
    while drain(stream, &mut budget) == Drained::Open && stream.readable().await.is_ok() {}
}

/// Responds, without waiting, to a connection that exceeds the limit of connections. Bytes that
/// have arrived are drained before the response is written, and those that arrive meanwhile after
/// it.
pub fn reject(stream: &Stream, response: &[u8]) {
    let mut budget = MAX_DRAINED_BYTES;
    drain(stream, &mut budget);
    let _ = stream.get_ref().write(response);
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    drain(stream, &mut budget);
}

#[derive(PartialEq, Eq)]
enum Drained {
    /// More may arrive.
    Open,
    /// The peer has closed its side or sent more than the limit, or the connection failed.
    Finished,
}

/// Reads and drops the bytes that the socket has received.
fn drain(stream: &Stream, budget: &mut usize) -> Drained {
    let mut bytes = [0; READ_CHUNK_BYTES];
    loop {
        match stream.get_ref().read(&mut bytes) {
            Ok(0) => return Drained::Finished,
            Ok(read) if read > *budget => return Drained::Finished,
            Ok(read) => *budget -= read,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Drained::Open,
            Err(error) if error.kind() == ErrorKind::Interrupted => (),
            Err(_) => return Drained::Finished,
        }
    }
}

#[cfg(test)]
mod tests;
