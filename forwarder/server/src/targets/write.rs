//! Writing of a call. Until the kernel has the call's last byte the call has certainly not run, and
//! can still be prevented from running; from then on it may run, whatever happens to the
//! connection.

use std::io::{ErrorKind, Write};
use std::time::Instant;

use crate::stream::{is_open_without_data, until, Stream};

/// Result of writing a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The kernel has the call's last byte.
    Complete,
    /// Nothing was written: the connection is closed, or has unread bytes that cannot be a response
    /// to this call.
    Unusable,
    /// At most a part was written: the connection failed, or bytes arrived before the call was
    /// complete.
    Broken,
    /// The deadline had passed, or the call was no longer to be sent, when the next part could have
    /// been written.
    Cancelled,
    /// The deadline passed before the peer accepted the rest.
    TimedOut,
}

/// Writes a call completely by `deadline`, or leaves it incomplete. Before each write, with no
/// await in between, the connection and whether the call may be sent are checked: bytes that arrive
/// before the call's last byte is written are not a response to the call. Bytes that arrive between
/// that check and the write, some microseconds, cannot be distinguished from a response.
pub(super) async fn write_call(
    stream: &Stream,
    call: &[u8],
    deadline: Instant,
    may_leave: impl Fn() -> bool,
) -> WriteOutcome {
    let mut rest = call;
    loop {
        if !is_open_without_data(stream) {
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
        // After an error, as after the deadline, the last byte is not written: errors occur before
        // the kernel has taken it.
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
