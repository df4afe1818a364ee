//! Reads bodies whole, within bounds of size, memory and time.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{timeout_at, Instant};

use crate::memory::Portion;

/// Why a body was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// It is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// There is no memory for it now.
    #[error("there is no memory for the body")]
    OutOfMemory,
    /// It took too long.
    #[error("the body took too long")]
    TimedOut,
    /// It broke off, or its bytes are no body.
    #[error("the body broke off")]
    Broken,
}

/// Reads at most `most` bytes until `deadline`, in memory that `portion` accounts for.
///
/// # Errors
/// Why the body is not there whole.
pub async fn read_whole(
    mut body: Incoming,
    most: usize,
    deadline: Instant,
    portion: &mut Portion,
) -> Result<Bytes, ReadError> {
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Err(_) => return Err(ReadError::TimedOut),
            Ok(Some(Err(_))) => return Err(ReadError::Broken),
            Ok(None) => break,
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len() + joined.len() + data.len() > most {
            return Err(ReadError::TooLarge);
        }
        portion
            .grow(data.len())
            .map_err(|_| ReadError::OutOfMemory)?;
        // Nearly all bodies come in one piece, which is not copied.
        if first.is_empty() && joined.is_empty() {
            first = data;
        } else {
            joined.extend_from_slice(&std::mem::take(&mut first));
            joined.extend_from_slice(&data);
        }
    }
    Ok(if joined.is_empty() {
        first
    } else {
        joined.freeze()
    })
}
