//! Answers that the proxy makes itself, without a target's.

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use plankhill_dispatch::{AttemptOutcome, Ms};
use plankhill_protocol::ids::RequestId;

use crate::headers::REQUEST_ID;
use crate::response_body::ResponseBody;

/// The shortest `Retry-After` that a client is given: a new request costs it a new connection.
const MIN_RETRY_AFTER: Ms = 20.0;

/// An answer without a body.
pub fn empty(status: StatusCode, request_id: Option<&RequestId>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(Bytes::new()));
    *response.status_mut() = status;
    if let Some(value) = request_id.and_then(|id| HeaderValue::from_str(id.as_str()).ok()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

/// 503: the request was not executed and never will be; the client may come back after the time.
pub fn rejected(retry_after: Ms, request_id: Option<&RequestId>) -> Response<ResponseBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE, request_id);
    let seconds = format!("{:.3}", retry_after.max(MIN_RETRY_AFTER) / 1_000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The answer to a request whose last attempt ended with `last`, without an answer of the target:
/// 504 after a time-out, 502 otherwise. Neither promises anything.
///
/// A request whose last attempt surely was not executed may have been executed before, so that the
/// dispatcher's decision that it failed is not softened to 503.
pub fn failed(last: AttemptOutcome, request_id: Option<&RequestId>) -> Response<ResponseBody> {
    let status = match last {
        AttemptOutcome::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    empty(status, request_id)
}
