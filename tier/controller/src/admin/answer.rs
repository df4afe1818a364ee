//! Answers of the operator's and the targets' interface.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::body::BodyError;

/// When to come back after a 503, in seconds: a change of the chain's view takes about this long.
const RETRY_AFTER_S: &str = "0.3";

/// One answer; always JSON.
pub type Answer = Response<Full<Bytes>>;

/// The body of every failure.
#[derive(Serialize)]
struct Failure<'a> {
    error: &'a str,
}

/// 200 with a body.
pub fn ok(body: &impl Serialize) -> Answer {
    with_body(StatusCode::OK, body)
}

/// 200 with a body that is JSON text already.
pub fn ok_text(text: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(text));
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// A failure with its reason.
pub fn failure(status: StatusCode, error: &str) -> Answer {
    let mut answer = with_body(status, &Failure { error });
    if status == StatusCode::SERVICE_UNAVAILABLE {
        answer
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    answer
}

/// 400 with what is wrong.
pub fn invalid(error: &str) -> Answer {
    failure(StatusCode::BAD_REQUEST, error)
}

/// The answer to a request whose body was not taken.
pub fn unread(error: BodyError) -> Answer {
    let status = match error {
        BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Broken => StatusCode::BAD_REQUEST,
        BodyError::Late => StatusCode::REQUEST_TIMEOUT,
        BodyError::Busy => StatusCode::SERVICE_UNAVAILABLE,
    };
    failure(status, &error.to_string())
}

/// 503: no outcome could be had here.
pub fn unavailable() -> Answer {
    failure(
        StatusCode::SERVICE_UNAVAILABLE,
        "no majority of the controllers answered in time",
    )
}

fn with_body(status: StatusCode, body: &impl Serialize) -> Answer {
    let text = serde_json::to_vec(body).unwrap_or_else(|_| b"{}".to_vec());
    let mut answer = ok_text(text.into());
    *answer.status_mut() = status;
    answer
}
