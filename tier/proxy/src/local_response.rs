//! Responses that the proxy generates itself, without a response from a target.

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use plankhill_dispatch::{AttemptOutcome, Ms};
use plankhill_protocol::ids::RequestId;

use crate::headers::REQUEST_ID;
use crate::response_body::ResponseBody;

/// Minimum `Retry-After` sent to clients: a new request costs the client a new connection.
const MIN_RETRY_AFTER: Ms = 20.0;

/// A response without a body.
pub fn empty(status: StatusCode, request_id: Option<&RequestId>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(Bytes::new()));
    *response.status_mut() = status;
    if let Some(value) = request_id.and_then(|id| HeaderValue::from_str(id.as_str()).ok()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

/// 503: the request was not executed and never will be; the client may retry after `retry_after`.
pub fn rejected(retry_after: Ms, request_id: Option<&RequestId>) -> Response<ResponseBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE, request_id);
    let seconds = format!("{:.3}", retry_after.max(MIN_RETRY_AFTER) / 1_000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The response to a request whose last attempt ended with `last`, without a response from the
/// target: 504 after a timeout, 502 otherwise. Neither promises that the request was not executed.
///
/// Even if the last attempt was certainly not executed, an earlier attempt may have been, so a
/// request that the dispatcher fails is never answered with 503.
pub fn failed(last: AttemptOutcome, request_id: Option<&RequestId>) -> Response<ResponseBody> {
    let status = match last {
        AttemptOutcome::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    empty(status, request_id)
}
