//! How urgent a request is, how long it is held while no target takes it, and when a refused client is to
//! come back.

use plankhill_decisions::interface::Ms;

/// The `Priority` header's value for a request that is neither urgent nor late.
pub const USUAL_PRIORITY: u8 = 5;
/// The least urgent value of the `Priority` header.
pub const LAST_PRIORITY: u8 = 9;

/// A request that was never sent is held for this share of its objective: one refused within a quarter still
/// earns most of its worth by its next try.
const HELD_SHARE: f64 = 0.2;
/// One that a target refused is held a little longer: a slot there comes free within an answer's time.
const HELD_REFUSED_SHARE: f64 = 0.5;
/// A request whose call failed is held for this share of its objective until it goes again.
const HELD_AGAIN_SHARE: f64 = 1.0;
/// Behind another of its session it is held for this share of the time left.
const HELD_IN_SESSION_SHARE: f64 = 0.5;
/// The least time of a hold, so that one short wait of a target does not refuse.
const LEAST_HOLD: Ms = 20.0;

/// Bounds of the advice when to come back.
const SOONEST_RETURN: Ms = 30.0;
const LATEST_RETURN: Ms = 1_000.0;

/// Why a request is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldFor {
    /// A target that takes it.
    FirstSend,
    /// Its next call after one that surely did not run.
    Refused,
    /// Its next call after one that failed.
    NextSend,
    /// An earlier request of its session.
    Session,
}

/// Until when the request is held; then it is refused.
pub fn hold_until(now: Ms, held_for: HeldFor, objective: Ms, deadline: Ms) -> Ms {
    let hold = match held_for {
        HeldFor::FirstSend => (HELD_SHARE * objective).max(LEAST_HOLD),
        HeldFor::Refused => (HELD_REFUSED_SHARE * objective).max(LEAST_HOLD),
        HeldFor::NextSend => (HELD_AGAIN_SHARE * objective).max(LEAST_HOLD),
        HeldFor::Session => HELD_IN_SESSION_SHARE * (deadline - now),
    };
    (now + hold.max(0.0)).min(deadline)
}

/// When a client whose request was refused is to come back: when the service's first target may take calls
/// again, spread by `chance` (0 to 1) so that not all come at once.
pub fn retry_after(now: Ms, opens_at: Option<Ms>, objective: Ms, chance: f64) -> Ms {
    let opens_in = opens_at.map_or(objective, |at| at - now);
    let spread = 0.5 * chance * objective;
    (opens_in.max(0.0) + spread).clamp(SOONEST_RETURN, LATEST_RETURN)
}

/// The value of the `Priority` header. Only the program as a whole counts: one that still can be in time goes
/// before one that is late, and near its end it must not wait.
pub fn priority(route_priority: u8, finish_left: Option<Ms>, objective: Ms) -> u8 {
    let by_route = 3 + route_priority.min(2) * 2;
    let by_program = match finish_left {
        Some(left) if left <= 0.0 => 2,
        Some(left) if left < NEAR_END * objective => -1,
        Some(_) | None => 0,
    };
    (i16::from(by_route) + by_program).clamp(0, i16::from(LAST_PRIORITY)) as u8
}

/// A program with less time left than this many objectives is near its end.
const NEAR_END: f64 = 6.0;
