//! The one way in which a connection ends behind a response of ours: the writing side is shut down, what still arrives
//! is read and dropped within bounds, then the connection is closed. A close over unread bytes resets the connection,
//! and a response that its peer has not read yet is lost with that (RFC 9112, section 9.6). What is read here is never
//! a request any more.
//!
//! Used by the clients' connections and by the admin listener.

use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

use crate::stream::Stream;

/// Bytes that are still read: a request at its longest three times over. A peer that sends more is no client.
const MAX_DRAINED_BYTES: usize = 256 * 1024;
/// Read at once, into the stack.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Shuts the writing side down, and returns once the peer has closed its side too or has sent too much. The caller
/// limits the time.
pub async fn linger(stream: &Stream) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut budget = MAX_DRAINED_BYTES;
    while drain(stream, &mut budget) == Drained::Open && stream.readable().await.is_ok() {}
}

/// Answers a connection for which there is no place, and that may not wait for one: what has arrived is read first, and
/// what arrives with the response after it.
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
    /// The peer has closed its side, or sent more than is read.
    Finished,
}

/// Reads and drops what lies in the socket.
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
