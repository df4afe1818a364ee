//! The end of an attempt as the proxy reports it.

use plankhill_decisions::interface::{AttemptOutcome, Ms};

/// The `Upstream-Load` header of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that the target executes.
    pub running: u32,
    /// Requests in the target's queue.
    pub waiting: u32,
    /// Most requests that the target executes at once.
    pub slots: u32,
}

/// How an attempt ended.
///
/// The proxy reports the outcomes in this sense:
/// - `Delivered`: the answer (any status below 500 without `Not-Executed`) has arrived completely;
/// - `Error`: the target executed the request and answered with a failure;
/// - `Rejected`: the answer has `Not-Executed` (or is a 421): surely not executed;
/// - `TimedOut`: no complete answer by the attempt's deadline;
/// - `ConnectFailed`: no connection came up, nothing was written;
/// - `Reset`: the connection broke after something was written: the request may have been executed;
/// - `Cancelled`: the proxy ended the attempt (the client has left, or the answer cannot be read):
///   the request may have been executed;
/// - `NotSent`: the proxy wrote nothing of the request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The outcome, in the sense above.
    pub outcome: AttemptOutcome,
    /// From the send until the end of the answer's head, or until the attempt ended without one.
    pub elapsed: Ms,
    /// The target's `Retry-After`.
    pub retry_after: Option<Ms>,
    /// The target's `Upstream-Load`, unless [`crate::Dispatcher::on_load_reported`] had it before.
    pub load: Option<UpstreamLoad>,
    /// The longest pause between two chunks of the answer, the pause before the first one included.
    pub longest_pause: Option<Ms>,
}

impl AttemptResult {
    /// A result of which only the outcome is known.
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
