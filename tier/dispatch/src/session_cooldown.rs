//! How long a session pauses after an attempt that may still be executed, derived from the pauses
//! within answers, and the sessions that pause now.
//!
//! A target drops a request whose connection has closed when it next writes to that connection, so
//! that the longest pause between two writes bounds how long the request goes on unseen.

use std::collections::{HashMap, VecDeque};

use plankhill_decisions::interface::Ms;

/// The cool-down before any answer was seen.
const INITIAL_COOLDOWN: Ms = 200.0;
/// Bounds of the cool-down: a round trip inside a region, and the time by which any target has
/// noticed a closed connection.
const MIN_COOLDOWN: Ms = 20.0;
const MAX_COOLDOWN: Ms = 1_000.0;
/// The weight of the newest answer in the average.
const NEWEST_WEIGHT: f64 = 0.1;
/// The cool-down is that many times the typical longest pause.
const SAFETY_FACTOR: f64 = 2.0;
/// A change is passed on when it exceeds this share of the value in force.
const MIN_CHANGE: f64 = 0.3;

/// The cool-down as derived from answers.
#[derive(Clone, Debug)]
pub struct CooldownEstimate {
    typical_pause: Option<Ms>,
    in_force: Ms,
}

impl Default for CooldownEstimate {
    fn default() -> Self {
        CooldownEstimate {
            typical_pause: None,
            in_force: INITIAL_COOLDOWN,
        }
    }
}

impl CooldownEstimate {
    /// The value in force.
    pub fn value(&self) -> Ms {
        self.in_force
    }

    /// Takes in the longest pause of an answer; returns the new value if it changed by much.
    pub fn record_pause(&mut self, longest_pause: Ms) -> Option<Ms> {
        if !longest_pause.is_finite() || longest_pause < 0.0 {
            return None;
        }
        let before = self.typical_pause.unwrap_or(longest_pause);
        let typical = before + NEWEST_WEIGHT * (longest_pause - before);
        self.typical_pause = Some(typical);
        let derived = (SAFETY_FACTOR * typical).clamp(MIN_COOLDOWN, MAX_COOLDOWN);
        if (derived - self.in_force).abs() <= MIN_CHANGE * self.in_force {
            return None;
        }
        self.in_force = derived;
        Some(derived)
    }
}

/// The sessions that pause now.
#[derive(Debug, Default)]
pub struct SessionCooldowns {
    until: HashMap<u64, Ms>,
    /// In the order in which the cool-downs began. An entry that differs from `until` is stale.
    by_start: VecDeque<SessionCooldown>,
}

#[derive(Clone, Copy, Debug)]
struct SessionCooldown {
    session: u64,
    until: Ms,
}

impl SessionCooldowns {
    /// The session pauses until `until`. Cool-downs that are over by `now` are forgotten.
    pub fn begin(&mut self, now: Ms, session: u64, until: Ms) {
        self.forget_expired(now);
        self.until.insert(session, until);
        self.by_start.push_back(SessionCooldown { session, until });
    }

    /// When the session's next attempt may be sent: now, or at the end of its cool-down.
    pub fn ready_at(&self, now: Ms, session: u64) -> Ms {
        self.until.get(&session).copied().unwrap_or(now).max(now)
    }

    fn forget_expired(&mut self, now: Ms) {
        while let Some(over) = self.by_start.pop_front_if(|cooldown| cooldown.until <= now) {
            if self.until.get(&over.session) == Some(&over.until) {
                self.until.remove(&over.session);
            }
        }
    }
}
