//! The one way in which a connection ends behind an answer of ours: the writing side is shut, what still comes is
//! read and dropped within bounds, then the connection is closed. A close over unread bytes resets it, and an
//! answer that its peer has not read yet goes with that. What is read here is never a request any more.

use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

use crate::exchange::Stream;

/// So much of what still comes is read: a request at its longest three times over. Who sends more is no client.
const LEAVINGS: usize = 256 * 1024;
/// Read at once; lent by the stack for no longer than that.
const AT_ONCE: usize = 16 * 1024;

/// Returns once the peer has closed its side too, or has sent too much; for the time whoever calls has a bound.
pub async fn ends(stream: &Stream) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut left = LEAVINGS;
    while pass_over(stream, &mut left) && stream.readable().await.is_ok() {}
}

/// Answers one for which there is no place, and that may not wait for one: what has come is read first, and what
/// comes with the answer after it.
pub fn turn_away(stream: &Stream, answer: &[u8]) {
    let mut left = LEAVINGS;
    pass_over(stream, &mut left);
    let _ = stream.get_ref().write(answer);
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    pass_over(stream, &mut left);
}

/// Reads what lies in the socket; whether more may come.
fn pass_over(stream: &Stream, left: &mut usize) -> bool {
    let mut bytes = [0; AT_ONCE];
    loop {
        match stream.get_ref().read(&mut bytes) {
            Ok(read) if read == 0 || read > *left => return false,
            Ok(read) => *left -= read,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
            Err(e) if e.kind() == ErrorKind::Interrupted => (),
            Err(_) => return false,
        }
    }
}

#[cfg(test)]
mod tests;
