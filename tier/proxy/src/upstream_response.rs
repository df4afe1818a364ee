//! The head of a target's response: the attempt outcome that it implies, and whether the response
//! can be forwarded. Read by [`crate::target_client`]; the body is read by
//! [`crate::buffered_response`] or by the stream.

use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use plankhill_dispatch::{AttemptOutcome, Ms, UpstreamLoad};

use crate::headers;
use crate::request_headers::{header_number, header_text};
use crate::target_pool::TargetConnection;
use crate::upstream_request::UpstreamRequest;

/// A request body of at most this size, in bytes, is sent and read together with its head. A target
/// that rejects a request with a longer body may not have read the rest of the body.
const MAX_SHORT_BODY_BYTES: usize = 2 * 1024;

/// The head of a target's response, whose body is not read yet.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The status sent by the target.
    pub status: StatusCode,
    /// The headers sent by the target.
    pub headers: HeaderMap,
    /// The unread body of the response.
    pub body: Incoming,
    /// The connection, to be put back into the pool once the body has arrived completely.
    pub connection: TargetConnection,
    /// Whether the target may not have read the rest of the request: a later request on this
    /// connection would wait behind the unread bytes, and its outcome would be unknown.
    pub is_early: bool,
}

impl UpstreamResponse {
    /// Checks a head that arrived over `connection` in response to `request`.
    ///
    /// # Errors
    /// [`AttemptOutcome::Reset`] for the response to another request, and for one that cannot be
    /// forwarded: neither shows whether this request was executed.
    pub(crate) fn check(
        response: Response<Incoming>,
        connection: TargetConnection,
        request: &UpstreamRequest,
    ) -> Result<Self, AttemptOutcome> {
        let (head, body) = response.into_parts();
        let is_ours = match header_text(&head.headers, headers::REQUEST_ID.as_str()) {
            Some(echoed) => echoed == request.request_id.as_str(),
            // A response over a new connection cannot belong to an earlier request.
            None => !connection.reused,
        };
        if !is_ours || head.status.is_informational() || !is_plausible(head.status, &head.headers) {
            return Err(AttemptOutcome::Reset);
        }
        let is_early = !head.status.is_success() && request.body.len() > MAX_SHORT_BODY_BYTES;
        let (status, headers) = (head.status, head.headers);
        Ok(UpstreamResponse {
            status,
            headers,
            body,
            connection,
            is_early,
        })
    }

    /// The outcome of the attempt if the complete response arrives.
    pub fn outcome(&self) -> AttemptOutcome {
        if self.status == StatusCode::MISDIRECTED_REQUEST {
            // Another target listens on the address: the intended target is gone.
            AttemptOutcome::ConnectFailed
        } else if self.headers.contains_key(headers::NOT_EXECUTED) {
            AttemptOutcome::Rejected
        } else if self.status.is_server_error() {
            AttemptOutcome::Error
        } else {
            AttemptOutcome::Delivered
        }
    }

    /// The target's `Upstream-Load`.
    pub fn load(&self) -> Option<UpstreamLoad> {
        let value = header_text(&self.headers, headers::UPSTREAM_LOAD.as_str())?;
        let mut numbers = value
            .split(',')
            .map(|number| number.trim().parse::<u32>().ok());
        let running = numbers.next()??;
        let waiting = numbers.next()??;
        let slots = numbers.next()??;
        Some(UpstreamLoad {
            running,
            waiting,
            slots,
        })
    }

    /// The target's `Retry-After`, in milliseconds.
    pub fn retry_after(&self) -> Option<Ms> {
        let seconds = header_number::<f64>(&self.headers, "retry-after")?;
        seconds.is_finite().then_some(seconds * 1e3)
    }
}

/// Whether the head can be forwarded.
///
/// A success has the target's signature. A status that promises that the request was not executed
/// must come with the `Not-Executed` header; without that header, the response can be forwarded
/// neither unchanged nor with another status.
fn is_plausible(status: StatusCode, headers: &HeaderMap) -> bool {
    let is_signed = headers.contains_key(headers::UPSTREAM_SIGNATURE);
    let is_marked_not_executed = headers.contains_key(headers::NOT_EXECUTED);
    match status {
        StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::REQUEST_TIMEOUT => is_marked_not_executed,
        _ => is_signed || !status.is_success(),
    }
}
