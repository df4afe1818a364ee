//! The writing of a call. Until the kernel has its last byte it has surely not run, and may still be kept from
//! running; from then on it may run whatever becomes of it.

use std::io::{ErrorKind, Write};
use std::time::Instant;

use crate::exchange::{is_quiet, until, Stream};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Written {
    /// The kernel has its last byte.
    Whole,
    /// Nothing of it: the connection is closed, or bytes lie in it that cannot answer this call.
    Unfit,
    /// Some of it at most: the connection broke off, or was answered before the call was there.
    Broken,
    /// Its time was up, or it was not wanted any more, when the next of it could have been written.
    Late,
    /// Its time was up before the peer took the rest.
    Stuck,
}

/// Writes a call, by then or not to its end. Before each write, with nothing awaited between, the connection and
/// whether the call may leave are looked at: what lies in the connection before the call's last byte is no answer
/// to it. What comes between that look and the write, some microseconds, cannot be told from an answer.
pub(super) async fn write(
    stream: &Stream,
    call: &[u8],
    by: Instant,
    wanted: impl Fn() -> bool,
) -> Written {
    let mut left = call;
    loop {
        if !is_quiet(stream) {
            return if left.len() == call.len() {
                Written::Unfit
            } else {
                Written::Broken
            };
        }
        if !wanted() || Instant::now() >= by {
            return Written::Late;
        }
        // An error, as the time's end, leaves the last byte here: it comes before the kernel has taken it.
        match stream.get_ref().write(left) {
            Ok(0) => return Written::Broken,
            Ok(written) if written == left.len() => return Written::Whole,
            Ok(written) => left = &left[written..],
            Err(e) if e.kind() == ErrorKind::Interrupted => (),
            Err(e) if e.kind() == ErrorKind::WouldBlock => match until(by, stream.writable()).await
            {
                Some(Ok(())) => (),
                Some(Err(_)) => return Written::Broken,
                None => return Written::Stuck,
            },
            Err(_) => return Written::Broken,
        }
    }
}

#[cfg(test)]
mod tests;
