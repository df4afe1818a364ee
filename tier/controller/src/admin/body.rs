//! Bodies of bounded size, and a bound on all of them together.

use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;

/// Bytes that one unit of the budget stands for.
const UNIT: usize = 1_024;

/// Time for a body: eight megabytes take under a second on the slowest link described, and callers give up a
/// little later than that.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The body of a request, from a connection or from a test.
pub trait ReadableBody: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> {}

impl<B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>>> ReadableBody for B {}

/// Why a body was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// Larger than allowed.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The connection ended, or the body was not framed properly.
    #[error("the body could not be read whole")]
    Broken,
    /// It did not come in time.
    #[error("the body did not come whole within {} s", BODY_TIMEOUT.as_secs())]
    Late,
    /// Other bodies take all the memory set aside.
    #[error("too many large bodies at once")]
    Busy,
}

/// Memory set aside for bodies that are being read or judged.
#[derive(Clone)]
pub struct BodyBudget(Rc<Semaphore>);

impl BodyBudget {
    /// A budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        BodyBudget(Rc::new(Semaphore::new(bytes / UNIT)))
    }

    /// Sets memory aside; given back when the permit is dropped.
    ///
    /// # Errors
    /// If that much is not free now.
    pub fn take(&self, bytes: usize) -> Result<SemaphorePermit<'_>, BodyError> {
        let units = u32::try_from(bytes.div_ceil(UNIT)).unwrap_or(u32::MAX);
        self.0.try_acquire_many(units).map_err(|_| BodyError::Busy)
    }
}

/// How long the body may be that is to come: its stated length, or the limit if it comes in chunks.
///
/// # Errors
/// If the stated length is over the limit.
pub fn announced_length(body: &impl ReadableBody, limit: usize) -> Result<usize, BodyError> {
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(BodyError::TooLarge(limit));
    }
    let upper = hint.upper().unwrap_or(limit as u64);
    Ok(usize::try_from(upper).unwrap_or(limit).min(limit))
}

/// Reads a whole body.
///
/// # Errors
/// If it is too large, breaks off or takes too long.
pub async fn read_body(body: impl ReadableBody, limit: usize) -> Result<Bytes, BodyError> {
    announced_length(&body, limit)?;
    match timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge(limit))
        }
        Ok(Err(_)) => Err(BodyError::Broken),
        Err(_) => Err(BodyError::Late),
    }
}
