//! The request that is sent to targets. Written by [`crate::target_client`], once for each attempt.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Uri};
use plankhill_dispatch::Ms;
use plankhill_protocol::ids::RequestId;

use crate::decision::Attempt;
use crate::headers;

/// The parts of a request that are the same for all of its attempts, except for a few headers.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The client's method.
    pub method: Method,
    /// The client's path and query.
    pub uri: Uri,
    /// The client's headers, except for those that apply to its connection.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The client's id for the request.
    pub request_id: RequestId,
    /// The id of the event after which the stream resumes; if `None`, the client's own header is
    /// sent.
    pub last_event_id: Option<u64>,
}

impl UpstreamRequest {
    /// Builds the message for one attempt that is written at `now`.
    pub(crate) fn message(&self, attempt: &Attempt, now: Ms) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        if let Ok(id) = attempt.target.as_str().parse() {
            headers.insert(headers::EXPECTED_INSTANCE, id);
        }
        let time_left_ms = (attempt.deadline - now).max(1.0) as u64;
        headers.insert(headers::DEADLINE_MS, headers::number_value(time_left_ms));
        headers.insert(
            headers::PRIORITY,
            headers::number_value(attempt.priority.into()),
        );
        if let Some(id) = self.last_event_id {
            headers.insert(headers::LAST_EVENT_ID, headers::number_value(id));
        }
        let mut message = Request::new(Full::new(self.body.clone()));
        *message.method_mut() = self.method.clone();
        *message.uri_mut() = self.uri.clone();
        *message.headers_mut() = headers;
        message
    }
}
