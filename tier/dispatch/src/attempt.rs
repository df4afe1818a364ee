//! The result of an attempt as reported by the proxy.

use plankhill_decisions::interface::{AttemptOutcome, Ms};

/// The `Upstream-Load` header of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that the target is executing.
    pub running: u32,
    /// Requests in the target's queue.
    pub waiting: u32,
    /// Maximum number of requests that the target executes at once.
    pub slots: u32,
}

/// The result of an attempt.
///
/// Meaning of the outcomes that the proxy reports:
/// - `Delivered`: the response (any status below 500 without `Not-Executed`) has arrived
///   completely;
/// - `Error`: the target executed the request and returned an error response;
/// - `Rejected`: the response has `Not-Executed`: the request was certainly not executed;
/// - `TimedOut`: no complete response by the attempt's deadline;
/// - `ConnectFailed`: no connection was established and nothing was written, or another target
///   responded at the address (421): the request was certainly not executed;
/// - `Reset`: the connection broke after something was written, or the response was not a valid
///   response to this request: the request may have been executed;
/// - `Cancelled`: the proxy ended the attempt (the client has disconnected, or the response cannot
///   be read): the request may have been executed;
/// - `NotSent`: the proxy wrote nothing of the request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The outcome, as defined above.
    pub outcome: AttemptOutcome,
    /// Time from the start of the attempt to its end; on a streaming route, only to the response
    /// head if one arrives.
    pub elapsed: Ms,
    /// The target's `Retry-After`.
    pub retry_after: Option<Ms>,
    /// The target's `Upstream-Load`, unless it was passed to
    /// [`crate::Dispatcher::on_load_reported`] before.
    pub load: Option<UpstreamLoad>,
    /// The longest pause between two chunks of the response, including the pause before the first
    /// chunk.
    pub longest_pause: Option<Ms>,
}

impl AttemptResult {
    /// Creates a result of which only the outcome is known.
    pub fn from_outcome(outcome: AttemptOutcome) -> Self {
        AttemptResult {
            outcome,
            elapsed: 0.0,
            retry_after: None,
            load: None,
            longest_pause: None,
        }
    }
}
