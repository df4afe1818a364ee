//! Priorities of requests, queue timeouts of requests that no target accepts, and `Retry-After`
//! values of rejected requests. Pure functions, called by the dispatcher.

use plankhill_decisions::interface::Ms;

/// The `Priority` header's value for a request that is neither urgent nor late.
pub const DEFAULT_PRIORITY: u8 = 5;
/// The least urgent value of the `Priority` header.
pub const LOWEST_PRIORITY: u8 = 9;

/// Queue timeout of a request that was never sent, as a share of its latency target: a request
/// that is rejected within a quarter of the target still achieves most of its value with the
/// client's next request.
const FIRST_SEND_SHARE: f64 = 0.2;
/// Queue timeout of a request that a target rejected, as a share of its latency target. Longer,
/// because a slot at that target becomes free within one response time.
const AFTER_REJECTION_SHARE: f64 = 0.5;
/// Queue timeout of a request whose attempt failed, as a share of its latency target.
const AFTER_FAILURE_SHARE: f64 = 1.0;
/// Queue timeout of a request behind another request of its session, as a share of the time left
/// until its deadline.
const IN_SESSION_SHARE: f64 = 0.5;
/// The shortest queue timeout, so that one short backoff of a target does not cause rejections.
const MIN_QUEUE_TIMEOUT: Ms = 20.0;

/// Bounds of the `Retry-After` that is sent to a client.
const MIN_RETRY_AFTER: Ms = 30.0;
const MAX_RETRY_AFTER: Ms = 1_000.0;

/// An agent program with less time left than this many latency targets is near its end.
const NEAR_END_TARGETS: f64 = 6.0;

/// Why a request is queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueReason {
    /// The request was never sent and waits for a target that accepts it.
    FirstSend,
    /// The last attempt was certainly not executed.
    Rejected,
    /// The last attempt failed, or may have been executed.
    Failed,
    /// An earlier request of the same session has not completed.
    Session,
}

/// The time until which a request is queued before it is rejected; never later than `deadline`.
pub fn queue_deadline(now: Ms, reason: QueueReason, latency_target: Ms, deadline: Ms) -> Ms {
    let timeout = match reason {
        QueueReason::FirstSend => (FIRST_SEND_SHARE * latency_target).max(MIN_QUEUE_TIMEOUT),
        QueueReason::Rejected => (AFTER_REJECTION_SHARE * latency_target).max(MIN_QUEUE_TIMEOUT),
        QueueReason::Failed => (AFTER_FAILURE_SHARE * latency_target).max(MIN_QUEUE_TIMEOUT),
        QueueReason::Session => IN_SESSION_SHARE * (deadline - now),
    };
    (now + timeout.max(0.0)).min(deadline)
}

/// The delay after which the client of a rejected request should retry: the time until the
/// service's first target may accept requests again (`opens_at`; one latency target if unknown),
/// plus a jitter of up to half a latency target by `random` (0 to 1), so that clients do not all
/// retry at once.
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
/// Only the deadline of the complete agent program counts. Among requests of one route, a program
/// that can still finish in time precedes a late one, and a program near its end precedes both.
pub fn priority(route_priority: u8, program_time_left: Option<Ms>, latency_target: Ms) -> u8 {
    let by_route = 3 + route_priority.min(2) * 2;
    let by_program = match program_time_left {
        Some(left) if left <= 0.0 => 2,
        Some(left) if left < NEAR_END_TARGETS * latency_target => -1,
        Some(_) | None => 0,
    };
    (i16::from(by_route) + by_program).clamp(0, i16::from(LOWEST_PRIORITY)) as u8
}
