//! Request bodies of bounded size, and a bound on the memory of all of them together.

use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;

/// Bytes that one permit of the budget stands for.
const BYTES_PER_PERMIT: usize = 1_024;

/// The longest time for a body: eight megabytes take under a second on the slowest link described,
/// and callers give up a little later than that.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The body of a request, from a connection or from a test.
pub trait ReadableBody: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> {}

impl<B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>>> ReadableBody for B {}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than this limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The connection ended, or the body was not framed properly.
    #[error("the body could not be read whole")]
    Incomplete,
    /// The body did not arrive in time.
    #[error("the body did not come whole within {} s", BODY_TIMEOUT.as_secs())]
    TimedOut,
    /// Other bodies use all the memory that is reserved for bodies.
    #[error("too many large bodies at once")]
    BudgetExhausted,
}

/// The memory reserved for bodies that are being read or evaluated. Clones share one budget.
#[derive(Clone)]
pub struct BodyBudget {
    permits: Rc<Semaphore>,
}

impl BodyBudget {
    /// A budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        BodyBudget {
            permits: Rc::new(Semaphore::new(bytes / BYTES_PER_PERMIT)),
        }
    }

    /// Reserves memory until the permit is dropped.
    ///
    /// # Errors
    /// [`BodyError::BudgetExhausted`] if that much is not free now.
    pub fn reserve(&self, bytes: usize) -> Result<SemaphorePermit<'_>, BodyError> {
        let permits = u32::try_from(bytes.div_ceil(BYTES_PER_PERMIT)).unwrap_or(u32::MAX);
        self.permits
            .try_acquire_many(permits)
            .map_err(|_| BodyError::BudgetExhausted)
    }
}

/// The most bytes that a body can have: its stated length, or the limit if it comes in chunks.
///
/// # Errors
/// [`BodyError::TooLarge`] if the stated length is over the limit.
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
/// [`BodyError`] if the body is too large, breaks off or takes too long.
pub(super) async fn read_body(body: impl ReadableBody, limit: usize) -> Result<Bytes, BodyError> {
    max_body_length(&body, limit)?;
    match timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge(limit)),
        Ok(Err(_)) => Err(BodyError::Incomplete),
        Err(_) => Err(BodyError::TimedOut),
    }
}
