//! Responses of the admin interface. Operators and targets depend on the status codes, error texts
//! and JSON structures.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::body::BodyError;

/// The `Retry-After` header of a 503 response, in seconds: the approximate duration of a view
/// change of the chain.
const RETRY_AFTER_S: &str = "0.3";

/// A response, whose body is always JSON.
pub type AdminResponse = Response<Full<Bytes>>;

/// The body of every error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Returns a 200 response with the given body.
pub(super) fn ok(body: &impl Serialize) -> AdminResponse {
    with_status(StatusCode::OK, body)
}

/// Returns a 200 response whose body is already JSON text.
pub(super) fn ok_json_text(text: Bytes) -> AdminResponse {
    let mut response = Response::new(Full::new(text));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns an error response with the given reason.
pub(super) fn error(status: StatusCode, reason: &str) -> AdminResponse {
    let mut response = with_status(status, &ErrorBody { error: reason });
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    response
}

/// Returns a 400 response with the given reason.
pub(super) fn bad_request(reason: &str) -> AdminResponse {
    error(StatusCode::BAD_REQUEST, reason)
}

/// Returns the response to a request whose body could not be read.
pub(super) fn body_error(cause: BodyError) -> AdminResponse {
    let status = match cause {
        BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Incomplete => StatusCode::BAD_REQUEST,
        BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        BodyError::BudgetExhausted => StatusCode::SERVICE_UNAVAILABLE,
    };
    error(status, &cause.to_string())
}

/// Returns a 503 response, for a call whose outcome this controller could not obtain.
pub(super) fn unavailable() -> AdminResponse {
    error(
        StatusCode::SERVICE_UNAVAILABLE,
        "no majority of the controllers answered in time",
    )
}

fn with_status(status: StatusCode, body: &impl Serialize) -> AdminResponse {
    let text = serde_json::to_vec(body).unwrap_or_else(|_| b"{}".to_vec());
    let mut response = ok_json_text(text.into());
    *response.status_mut() = status;
    response
}
