//! Writing of a call. Until the kernel has the call's last byte the call has surely not run, and may still be kept from
//! running; from then on it may run whatever becomes of it.

use std::io::{ErrorKind, Write};
use std::time::Instant;

use crate::stream::{is_quiet, until, Stream};

/// How far a call was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The kernel has the call's last byte.
    Complete,
    /// Nothing was written: the connection is closed, or holds bytes that cannot answer this call.
    Unusable,
    /// A part was written at most: the connection broke off, or was answered before the call was complete.
    Broken,
    /// The time was up, or the call was not wanted any more, when the next part could have been written.
    Cancelled,
    /// The time was up before the peer took the rest.
    TimedOut,
}

/// Writes a call by `deadline`, or not to its end. Before each write, with nothing awaited between, the connection and
/// whether the call may leave are checked: bytes that lie in the connection before the call's last byte do not answer
/// the call. Bytes that arrive between that check and the write, some microseconds, cannot be told from a response.
pub(super) async fn write_call(
    stream: &Stream,
    call: &[u8],
    deadline: Instant,
    may_leave: impl Fn() -> bool,
) -> WriteOutcome {
    let mut rest = call;
    loop {
        if !is_quiet(stream) {
            let nothing_written = rest.len() == call.len();
            return if nothing_written {
                WriteOutcome::Unusable
            } else {
                WriteOutcome::Broken
            };
        }
        if !may_leave() || Instant::now() >= deadline {
            return WriteOutcome::Cancelled;
        }
        // An error, like the end of the time, leaves the last byte here: errors come before the kernel has taken it.
        match stream.get_ref().write(rest) {
            Ok(0) => return WriteOutcome::Broken,
            Ok(written) if written == rest.len() => return WriteOutcome::Complete,
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == ErrorKind::Interrupted => (),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                match until(deadline, stream.writable()).await {
                    Some(Ok(())) => (),
                    Some(Err(_)) => return WriteOutcome::Broken,
                    None => return WriteOutcome::TimedOut,
                }
            }
            Err(_) => return WriteOutcome::Broken,
        }
    }
}

#[cfg(test)]
mod tests;
