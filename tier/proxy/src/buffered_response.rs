//! Target responses that are forwarded only after they have arrived completely.

use bytes::Bytes;
use hyper::header::{self, HeaderMap};
use hyper::{Method, Response, StatusCode};
use plankhill_dispatch::{AttemptOutcome, AttemptResult, Ms, UpstreamLoad};
use tokio::time::Instant;

use crate::body_reader::{read_complete, ReadError};
use crate::headers::strip_connection_headers;
use crate::memory_budget::MemoryReservation;
use crate::response_body::ResponseBody;
use crate::target_pool::TargetPool;
use crate::upstream_response::UpstreamResponse;

/// Maximum size of a buffered response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A response that has arrived completely.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    outcome: AttemptOutcome,
    load: Option<UpstreamLoad>,
    retry_after: Option<Ms>,
}

impl BufferedResponse {
    /// Reads the rest of a response, and returns the connection to the pool if it is reusable.
    ///
    /// # Errors
    /// The attempt's outcome if the response does not arrive completely by `deadline`, is
    /// truncated, or exceeds the size limit or the memory budget.
    pub async fn read(
        response: UpstreamResponse,
        pool: &TargetPool,
        deadline: Instant,
        memory: &mut MemoryReservation,
    ) -> Result<Self, AttemptOutcome> {
        let outcome = response.outcome();
        let load = response.load();
        let retry_after = response.retry_after();
        // A body without a length ends when its connection is closed normally; a reset truncates
        // it.
        let is_reusable = is_framed(&response) && !response.is_early;
        let body = match read_complete(response.body, MAX_RESPONSE_BYTES, deadline, memory).await {
            Ok(body) => body,
            Err(ReadError::TimedOut) => return Err(AttemptOutcome::TimedOut),
            Err(ReadError::Truncated) => return Err(AttemptOutcome::Reset),
            // Another target's response would be no smaller.
            Err(ReadError::TooLarge | ReadError::OutOfMemory) => {
                return Err(AttemptOutcome::Cancelled);
            }
        };
        if is_reusable {
            pool.put_back(response.connection, &response.headers, Instant::now());
        }
        let (status, headers) = (response.status, response.headers);
        Ok(BufferedResponse {
            status,
            headers,
            body,
            outcome,
            load,
            retry_after,
        })
    }

    /// The outcome of the attempt.
    pub fn outcome(&self) -> AttemptOutcome {
        self.outcome
    }

    /// The attempt's result for the dispatcher, with the caller's measurement of
    /// [`AttemptResult::elapsed`].
    pub fn attempt_result(&self, elapsed: Ms) -> AttemptResult {
        AttemptResult {
            outcome: self.outcome,
            elapsed,
            retry_after: self.retry_after,
            load: self.load,
            longest_pause: None,
        }
    }

    /// The response to the client: the target's response, unchanged except for headers that concern
    /// the connection or the framing of the body.
    pub fn into_response(self, method: &Method) -> Response<ResponseBody> {
        let mut headers = self.headers;
        strip_connection_headers(&mut headers);
        if method != Method::HEAD {
            headers.remove(header::CONTENT_LENGTH);
        }
        let mut response = Response::new(ResponseBody::complete(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = headers;
        response
    }
}

/// Whether the message framing, rather than the end of the connection, marks the end of the body.
fn is_framed(response: &UpstreamResponse) -> bool {
    let has_no_body =
        response.status == StatusCode::NO_CONTENT || response.status == StatusCode::NOT_MODIFIED;
    has_no_body
        || response.headers.contains_key(header::CONTENT_LENGTH)
        || response.headers.contains_key(header::TRANSFER_ENCODING)
}
