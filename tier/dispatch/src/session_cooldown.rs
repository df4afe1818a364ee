//! The cool-down of a session after an attempt that may still be executed, derived from the pauses
//! within responses, and the sessions that are in cool-down.
//!
//! A target aborts a request whose connection was closed when it next writes to that connection, so
//! that the longest pause between two writes limits how long the request continues to be executed.

use std::collections::{HashMap, VecDeque};

use plankhill_decisions::interface::Ms;

/// The cool-down before the first response.
const INITIAL_COOLDOWN: Ms = 200.0;
/// Bounds of the cool-down: a round trip inside a region, and the time by which any target has
/// detected a closed connection.
const MIN_COOLDOWN: Ms = 20.0;
const MAX_COOLDOWN: Ms = 1_000.0;
/// The weight of the newest response in the average.
const NEWEST_WEIGHT: f64 = 0.1;
/// The cool-down is this many times the typical longest pause.
const SAFETY_FACTOR: f64 = 2.0;
/// A change takes effect if it exceeds this share of the current cool-down.
const MIN_CHANGE: f64 = 0.3;

/// The cool-down derived from responses.
#[derive(Clone, Debug)]
pub struct CooldownEstimate {
    typical_pause: Option<Ms>,
    current: Ms,
}

impl Default for CooldownEstimate {
    fn default() -> Self {
        CooldownEstimate {
            typical_pause: None,
            current: INITIAL_COOLDOWN,
        }
    }
}

impl CooldownEstimate {
    /// The current cool-down.
    pub fn value(&self) -> Ms {
        self.current
    }

    /// Records the longest pause of a response; returns the new cool-down if the change takes
    /// effect.
    pub fn record_pause(&mut self, longest_pause: Ms) -> Option<Ms> {
        if !longest_pause.is_finite() || longest_pause < 0.0 {
            return None;
        }
        let before = self.typical_pause.unwrap_or(longest_pause);
        let typical = before + NEWEST_WEIGHT * (longest_pause - before);
        self.typical_pause = Some(typical);
        let derived = (SAFETY_FACTOR * typical).clamp(MIN_COOLDOWN, MAX_COOLDOWN);
        if (derived - self.current).abs() <= MIN_CHANGE * self.current {
            return None;
        }
        self.current = derived;
        Some(derived)
    }
}

/// The sessions that are in cool-down.
#[derive(Debug, Default)]
pub struct SessionCooldowns {
    until: HashMap<u64, Ms>,
    /// The cool-downs in order of their start. An entry that differs from `until` is stale.
    by_start: VecDeque<SessionCooldown>,
}

#[derive(Clone, Copy, Debug)]
struct SessionCooldown {
    session: u64,
    until: Ms,
}

impl SessionCooldowns {
    /// Starts a cool-down of the session that ends at `until`. Removes cool-downs that have ended
    /// by `now`.
    pub fn begin(&mut self, now: Ms, session: u64, until: Ms) {
        self.remove_expired(now);
        self.until.insert(session, until);
        self.by_start.push_back(SessionCooldown { session, until });
    }

    /// When the session's next attempt may be sent: now, or at the end of its cool-down.
    pub fn ready_at(&self, now: Ms, session: u64) -> Ms {
        self.until.get(&session).copied().unwrap_or(now).max(now)
    }

    fn remove_expired(&mut self, now: Ms) {
        while let Some(expired) = self.by_start.pop_front_if(|cooldown| cooldown.until <= now) {
            if self.until.get(&expired.session) == Some(&expired.until) {
                self.until.remove(&expired.session);
            }
        }
    }
}
