//! Retry rules: whether a request is sent again after an attempt that was not delivered. Only this
//! module decides about retries.

use plankhill_decisions::interface::{AttemptOutcome, Ms};

use crate::request::Idempotency;

/// Whether a target executed a request, as far as is known after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExecutionState {
    /// The target did not execute the request and never will.
    NotExecuted,
    /// Unknown: the target may or may not have executed the request.
    MayHaveExecuted,
    /// The target executed the request, successfully or not.
    Executed,
}

impl ExecutionState {
    /// The state after an attempt with this outcome.
    pub fn from_outcome(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => {
                ExecutionState::NotExecuted
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled => {
                ExecutionState::MayHaveExecuted
            }
            AttemptOutcome::Delivered | AttemptOutcome::Error => ExecutionState::Executed,
        }
    }
}

/// Maximum number of retries of one request after attempts that were certainly not executed; these
/// do not count towards `max_attempts`. Each costs a round trip or less; after this many, the
/// complete service is at capacity or unavailable.
const MAX_NOT_EXECUTED_RETRIES: u32 = 3;

/// Timeout of an attempt that may be followed by another one, in latency targets and in typical
/// response times; the longer one applies. After both, a response is lost more often than late.
const ATTEMPT_TIMEOUT_TARGETS: f64 = 2.0;
const ATTEMPT_TIMEOUT_RESPONSES: f64 = 8.0;
/// The timeout is at most this share of the time left, so that the next attempt has as much.
const MAX_ATTEMPT_SHARE: f64 = 0.5;

/// Whether another attempt may follow the one that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followup {
    /// This attempt is the last one.
    None,
    /// Another attempt may follow.
    Possible,
}

/// The time at which an attempt that is sent now times out: the request's deadline, or earlier if
/// another attempt may follow.
pub fn attempt_deadline(
    now: Ms,
    deadline: Ms,
    latency_target: Ms,
    typical_response_time: Ms,
    followup: Followup,
) -> Ms {
    match followup {
        Followup::None => deadline,
        Followup::Possible => {
            let timeout = (ATTEMPT_TIMEOUT_TARGETS * latency_target)
                .max(ATTEMPT_TIMEOUT_RESPONSES * typical_response_time);
            now + timeout.min(MAX_ATTEMPT_SHARE * (deadline - now))
        }
    }
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    /// Attempts that were or may have been executed, limited by `max_attempts`.
    pub executed: u32,
    /// Attempts that were certainly not executed.
    pub not_executed: u32,
    /// The outcome of the last attempt.
    pub last: Option<AttemptOutcome>,
}

impl Attempts {
    /// Counts an attempt that has ended.
    pub fn record(&mut self, outcome: AttemptOutcome) {
        self.last = Some(outcome);
        match ExecutionState::from_outcome(outcome) {
            ExecutionState::NotExecuted => self.not_executed += 1,
            ExecutionState::MayHaveExecuted | ExecutionState::Executed => self.executed += 1,
        }
    }

    /// Whether any attempt was or may have been executed.
    pub fn may_have_executed(&self) -> bool {
        self.executed > 0
    }

    /// Whether another attempt could follow the one that is about to be sent if its response were
    /// lost.
    pub fn followup(&self, idempotency: Idempotency, max_attempts: u32) -> Followup {
        match idempotency {
            Idempotency::Idempotent if self.executed + 1 < max_attempts => Followup::Possible,
            Idempotency::Idempotent | Idempotency::NonIdempotent => Followup::None,
        }
    }

    /// Whether another attempt is allowed. An attempt that the proxy itself ended (`Cancelled`) is
    /// final.
    pub fn allows_another(&self, idempotency: Idempotency, max_attempts: u32) -> bool {
        if self.last == Some(AttemptOutcome::Cancelled) {
            return false;
        }
        if idempotency == Idempotency::NonIdempotent && self.may_have_executed() {
            return false;
        }
        self.executed < max_attempts.max(1) && self.not_executed <= MAX_NOT_EXECUTED_RETRIES
    }
}
