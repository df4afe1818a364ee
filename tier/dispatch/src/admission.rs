//! How urgent a request is, how long it is queued while no target takes it, and when the client of
//! a rejected request is to come back. Pure functions; the dispatcher calls them.

use plankhill_decisions::interface::Ms;

/// The `Priority` header's value for a request that is neither urgent nor late.
pub const DEFAULT_PRIORITY: u8 = 5;
/// The least urgent value of the `Priority` header.
pub const LOWEST_PRIORITY: u8 = 9;

/// A request that was never sent is queued for this share of its latency target: one rejected
/// within a quarter of it still earns most of its value by the client's next request.
const FIRST_SEND_SHARE: f64 = 0.2;
/// A request that a target rejected is queued a little longer: a slot there comes free within an
/// answer's time.
const AFTER_REJECTION_SHARE: f64 = 0.5;
/// A request whose attempt failed is queued for this share of its latency target.
const AFTER_FAILURE_SHARE: f64 = 1.0;
/// Behind another request of its session it is queued for this share of the time left.
const IN_SESSION_SHARE: f64 = 0.5;
/// The shortest queue time-out, so that one short backoff of a target does not reject requests.
const MIN_QUEUE_TIMEOUT: Ms = 20.0;

/// Bounds of the `Retry-After` that a client is given.
const MIN_RETRY_AFTER: Ms = 30.0;
const MAX_RETRY_AFTER: Ms = 1_000.0;

/// An agent program with less time left than this many latency targets is near its end.
const NEAR_END_TARGETS: f64 = 6.0;

/// Why a request is queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueReason {
    /// It was never sent and waits for a target that takes it.
    FirstSend,
    /// Its last attempt was surely not executed.
    Rejected,
    /// Its last attempt failed, or may have been executed.
    Failed,
    /// An earlier request of its session is not over.
    Session,
}

/// Until when the request is queued; then it is rejected. Never later than `deadline`.
pub fn queue_deadline(now: Ms, reason: QueueReason, latency_target: Ms, deadline: Ms) -> Ms {
    let timeout = match reason {
        QueueReason::FirstSend => (FIRST_SEND_SHARE * latency_target).max(MIN_QUEUE_TIMEOUT),
        QueueReason::Rejected => (AFTER_REJECTION_SHARE * latency_target).max(MIN_QUEUE_TIMEOUT),
        QueueReason::Failed => (AFTER_FAILURE_SHARE * latency_target).max(MIN_QUEUE_TIMEOUT),
        QueueReason::Session => IN_SESSION_SHARE * (deadline - now),
    };
    (now + timeout.max(0.0)).min(deadline)
}

/// When the client of a rejected request is to come back, counted from `now`: when the service's
/// first target may take requests again (`opens_at`), spread by `random` (0 to 1) so that clients
/// do not all come at once.
pub fn retry_after(now: Ms, opens_at: Option<Ms>, latency_target: Ms, random: f64) -> Ms {
    let opens_in = match opens_at {
        Some(at) => at - now,
        None => latency_target,
    };
    let spread = 0.5 * random * latency_target;
    (opens_in.max(0.0) + spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// The value of the `Priority` header.
///
/// Only the agent program as a whole counts: a program that can still be in time goes before one
/// that is late, and near its end it must not wait.
pub fn priority(route_priority: u8, program_time_left: Option<Ms>, latency_target: Ms) -> u8 {
    let by_route = 3 + route_priority.min(2) * 2;
    let by_program = match program_time_left {
        Some(left) if left <= 0.0 => 2,
        Some(left) if left < NEAR_END_TARGETS * latency_target => -1,
        Some(_) | None => 0,
    };
    (i16::from(by_route) + by_program).clamp(0, i16::from(LOWEST_PRIORITY)) as u8
}
