//! Answers of the proxy's own.

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use plankhill_dispatch::retry::ExecutionState;
use plankhill_dispatch::{AttemptOutcome, Ms};
use plankhill_protocol::ids::RequestId;

use crate::body::AnswerBody;
use crate::headers::REQUEST_ID;

/// The shortest pause that a client is told, in milliseconds: it costs a new connection.
const SHORTEST_PAUSE: Ms = 20.0;

/// An answer with no body.
pub fn empty(status: StatusCode, request_id: Option<&RequestId>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    if let Some(value) = request_id.and_then(|id| HeaderValue::from_str(id.as_str()).ok()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

/// 503: the request has not run and never will; the client may come back after the pause.
pub fn refused(retry_after: Ms, request_id: Option<&RequestId>) -> Response<AnswerBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE, request_id);
    let seconds = format!("{:.3}", retry_after.max(SHORTEST_PAUSE) / 1_000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The answer to a request whose last call ended like this, without an answer of the target.
pub fn failed(last: AttemptOutcome, request_id: Option<&RequestId>) -> Response<AnswerBody> {
    empty(status_of_failure(last), request_id)
}

/// 504 after a time-out, 502 otherwise. Neither promises anything. A request whose last call surely did not
/// run may have run before, so that the dispatcher's word that it failed is not softened to 503.
fn status_of_failure(last: AttemptOutcome) -> StatusCode {
    match (ExecutionState::from_outcome(last), last) {
        (ExecutionState::MayHaveExecuted, AttemptOutcome::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
