//! The head of a target's answer: which outcome it stands for, and whether it can be passed on at
//! all. Read by [`crate::target_client`]; the body is read by [`crate::buffered_response`] or by
//! the stream.

use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use plankhill_dispatch::{AttemptOutcome, Ms, UpstreamLoad};

use crate::headers;
use crate::request_headers::{number, text};
use crate::target_pool::TargetConnection;
use crate::upstream_request::UpstreamRequest;

/// A body of at most this size, in bytes, is sent with its head and read with it. Of a longer one
/// the target may not have read the rest when it rejects the request.
const MAX_SHORT_BODY_BYTES: usize = 2 * 1024;

/// The head of a target's answer; its body is still to come.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// As the target sent it.
    pub status: StatusCode,
    /// As the target sent them.
    pub headers: HeaderMap,
    /// The rest of the answer.
    pub body: Incoming,
    /// To be put back once the body has arrived completely.
    pub connection: TargetConnection,
    /// The rest of the request may still be unread: a request that follows on this connection would
    /// wait behind it, and nobody could tell what became of it.
    pub is_early: bool,
}

impl UpstreamResponse {
    /// Checks a head that came over `connection` in answer to `request`.
    ///
    /// # Errors
    /// [`AttemptOutcome::Reset`] for the answer to another request, and for one that cannot be
    /// passed on: neither says anything about this request.
    pub(crate) fn check(
        response: Response<Incoming>,
        connection: TargetConnection,
        request: &UpstreamRequest,
    ) -> Result<Self, AttemptOutcome> {
        let (head, body) = response.into_parts();
        let is_ours = match text(&head.headers, headers::REQUEST_ID.as_str()) {
            Some(echoed) => echoed == request.request_id.as_str(),
            // Over a new connection no other answer can be on its way.
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

    /// How the attempt ends if the complete answer arrives.
    pub fn outcome(&self) -> AttemptOutcome {
        if self.status == StatusCode::MISDIRECTED_REQUEST {
            // Another target listens there: the one that was meant is gone.
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
        let value = text(&self.headers, headers::UPSTREAM_LOAD.as_str())?;
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
        let seconds = number::<f64>(&self.headers, "retry-after")?;
        seconds.is_finite().then_some(seconds * 1e3)
    }
}

/// Whether the head can be passed on.
///
/// A success has the target's signature. A status that promises that the request was not executed
/// says so in its headers; without that it can be passed on neither as it is nor with another
/// status.
fn is_plausible(status: StatusCode, headers: &HeaderMap) -> bool {
    let is_signed = headers.contains_key(headers::UPSTREAM_SIGNATURE);
    let says_not_executed = headers.contains_key(headers::NOT_EXECUTED);
    match status {
        StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::REQUEST_TIMEOUT => says_not_executed,
        _ => is_signed || !status.is_success(),
    }
}
