//! Answers of targets that are passed on whole.

use bytes::Bytes;
use hyper::header::{self, HeaderMap};
use hyper::{Method, Response, StatusCode};
use plankhill_dispatch::{AttemptOutcome, AttemptResult, Ms, UpstreamLoad};
use tokio::time::Instant;

use crate::body::AnswerBody;
use crate::exchange::TargetHead;
use crate::headers::strip_connection_headers;
use crate::memory::Portion;
use crate::reading::{read_whole, ReadError};
use crate::target_pool::TargetPool;

/// The largest answer that is held whole, in bytes.
const MOST_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// An answer that has come whole.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    outcome: AttemptOutcome,
    load: Option<UpstreamLoad>,
    retry_after: Option<Ms>,
}

impl WholeAnswer {
    /// Reads the rest of an answer. The connection goes back to the pool.
    ///
    /// # Errors
    /// How the call ended if the answer does not come whole in time.
    pub async fn read(
        head: TargetHead,
        pool: &TargetPool,
        deadline: Instant,
        memory: &mut Portion,
    ) -> Result<Self, AttemptOutcome> {
        let (outcome, load, retry_after) = (head.outcome(), head.load(), head.retry_after());
        // Without a length it ends with its connection, in order; a reset is no end.
        let is_reusable = is_framed(&head) && !head.is_early;
        let body = match read_whole(head.body, MOST_ANSWER_BYTES, deadline, memory).await {
            Ok(body) => body,
            Err(ReadError::TimedOut) => return Err(AttemptOutcome::TimedOut),
            Err(ReadError::Broken) => return Err(AttemptOutcome::Reset),
            // Another target's answer would be no smaller.
            Err(ReadError::TooLarge | ReadError::OutOfMemory) => {
                return Err(AttemptOutcome::Cancelled)
            }
        };
        if is_reusable {
            pool.put_back(head.connection, &head.headers, Instant::now());
        }
        Ok(WholeAnswer {
            status: head.status,
            headers: head.headers,
            body,
            outcome,
            load,
            retry_after,
        })
    }

    /// How the call ended.
    pub fn outcome(&self) -> AttemptOutcome {
        self.outcome
    }

    /// The end of the call as the dispatcher wants to hear it.
    pub fn ended(&self, took: Ms) -> AttemptResult {
        AttemptResult {
            outcome: self.outcome,
            elapsed: took,
            retry_after: self.retry_after,
            load: self.load,
            longest_pause: None,
        }
    }

    /// The answer to the client: the target's, unchanged.
    pub fn into_response(self, method: &Method) -> Response<AnswerBody> {
        let mut headers = self.headers;
        strip_connection_headers(&mut headers);
        if method != Method::HEAD {
            headers.remove(header::CONTENT_LENGTH);
        }
        let mut response = Response::new(AnswerBody::whole(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = headers;
        response
    }
}

/// Whether the end of the body is marked.
fn is_framed(head: &TargetHead) -> bool {
    let without_body =
        head.status == StatusCode::NO_CONTENT || head.status == StatusCode::NOT_MODIFIED;
    without_body
        || head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
}
