//! Reads complete bodies within limits on size, memory and time: those of client requests
//! ([`crate::request_reader`]) and of target responses ([`crate::buffered_response`]).

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{timeout_at, Instant};

use crate::memory_budget::MemoryReservation;

/// Why a body was not read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The body is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The memory budget currently has no room for the body.
    #[error("the memory budget has no room for the body")]
    OutOfMemory,
    /// The body did not arrive completely before the deadline.
    #[error("reading the body timed out")]
    TimedOut,
    /// The connection ended before the end of the body, or the body is malformed.
    #[error("the body is truncated")]
    Truncated,
}

/// Reads a body of at most `max_bytes` until `deadline`; `memory` grows by the bytes read.
///
/// # Errors
/// A [`ReadError`] if the body was not read completely.
pub async fn read_complete(
    mut body: Incoming,
    max_bytes: usize,
    deadline: Instant,
    memory: &mut MemoryReservation,
) -> Result<Bytes, ReadError> {
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Err(_) => return Err(ReadError::TimedOut),
            Ok(Some(Err(_))) => return Err(ReadError::Truncated),
            Ok(None) => break,
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len() + joined.len() + data.len() > max_bytes {
            return Err(ReadError::TooLarge);
        }
        memory
            .grow(data.len())
            .map_err(|_| ReadError::OutOfMemory)?;
        // Nearly all bodies arrive in one chunk, which is not copied.
        if first.is_empty() && joined.is_empty() {
            first = data;
        } else {
            joined.extend_from_slice(&std::mem::take(&mut first));
            joined.extend_from_slice(&data);
        }
    }
    if joined.is_empty() {
        return Ok(first);
    }
    Ok(joined.freeze())
}
