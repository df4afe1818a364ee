//! Reads request bodies of bounded size and bounds the total memory of all bodies.

use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;

/// Number of bytes represented by one permit of the budget.
const BYTES_PER_PERMIT: usize = 1_024;

/// Timeout for reading a body: 8 MiB take less than a second on the slowest specified link, and
/// callers time out a little later than that.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The body of a request, received from a connection or supplied by a test.
pub trait ReadableBody: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> {}

impl<B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>>> ReadableBody for B {}

/// An error while reading a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than the contained limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The connection ended, or the framing of the body was invalid.
    #[error("the body could not be read whole")]
    Incomplete,
    /// The body did not arrive in time.
    #[error("the body did not come whole within {} s", BODY_TIMEOUT.as_secs())]
    TimedOut,
    /// The remaining memory budget is too small for this body.
    #[error("too many large bodies at once")]
    BudgetExhausted,
}

/// The memory budget for bodies that are being read or processed. Clones share one budget.
#[derive(Clone)]
pub struct BodyBudget {
    permits: Rc<Semaphore>,
}

impl BodyBudget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: usize) -> Self {
        BodyBudget {
            permits: Rc::new(Semaphore::new(bytes / BYTES_PER_PERMIT)),
        }
    }

    /// Reserves `bytes` bytes until the permit is dropped.
    ///
    /// # Errors
    /// [`BodyError::BudgetExhausted`] if less than that is currently available.
    pub fn reserve(&self, bytes: usize) -> Result<SemaphorePermit<'_>, BodyError> {
        let permits = u32::try_from(bytes.div_ceil(BYTES_PER_PERMIT)).unwrap_or(u32::MAX);
        self.permits
            .try_acquire_many(permits)
            .map_err(|_| BodyError::BudgetExhausted)
    }
}

/// Returns the maximum length of a body in bytes: its `Content-Length`, or `limit` for a chunked
/// body.
///
/// # Errors
/// [`BodyError::TooLarge`] if the `Content-Length` exceeds the limit.
pub(super) fn max_body_length(body: &impl ReadableBody, limit: usize) -> Result<usize, BodyError> {
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(BodyError::TooLarge(limit));
    }
    let upper = hint.upper().unwrap_or(limit as u64);
    Ok(usize::try_from(upper).unwrap_or(limit).min(limit))
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// [`BodyError`] if the body is too large, incomplete or not received in time.
pub(super) async fn read_body(body: impl ReadableBody, limit: usize) -> Result<Bytes, BodyError> {
    max_body_length(&body, limit)?;
    match timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge(limit)),
        Ok(Err(_)) => Err(BodyError::Incomplete),
        Err(_) => Err(BodyError::TimedOut),
    }
}
