//! How long a session rests after a call that may still run, derived from the pauses within answers.
//!
//! A target drops a request whose connection has closed when it next writes to it, so that the longest pause
//! between two writes bounds how long the request goes on unseen.

use std::collections::{HashMap, VecDeque};

use plankhill_decisions::interface::Ms;

/// The rest before any answer was seen.
const INITIAL: Ms = 200.0;
/// Bounds of the rest: a round trip inside a region, and the time by which any target has noticed.
const SHORTEST: Ms = 20.0;
const LONGEST: Ms = 1_000.0;
/// The weight of the newest answer in the average.
const NEWEST: f64 = 0.1;
/// The rest is that many times the usual longest pause.
const MARGIN: f64 = 2.0;
/// A change is passed on when it exceeds this share of the value in use.
const NOTABLE: f64 = 0.3;

/// The derived settle time.
#[derive(Clone, Debug)]
pub struct SettleTime {
    usual_pause: Option<Ms>,
    in_use: Ms,
}

impl Default for SettleTime {
    fn default() -> Self {
        SettleTime {
            usual_pause: None,
            in_use: INITIAL,
        }
    }
}

impl SettleTime {
    /// The value in use.
    pub fn value(&self) -> Ms {
        self.in_use
    }

    /// Takes in the longest pause of an answer; returns a new value if it changed by much.
    pub fn seen(&mut self, longest_pause: Ms) -> Option<Ms> {
        if !longest_pause.is_finite() || longest_pause < 0.0 {
            return None;
        }
        let before = self.usual_pause.unwrap_or(longest_pause);
        let usual = before + NEWEST * (longest_pause - before);
        self.usual_pause = Some(usual);
        let derived = (MARGIN * usual).clamp(SHORTEST, LONGEST);
        if (derived - self.in_use).abs() <= NOTABLE * self.in_use {
            return None;
        }
        self.in_use = derived;
        Some(derived)
    }
}

/// The sessions that rest now.
#[derive(Debug, Default)]
pub struct SessionRests {
    until: HashMap<u64, Ms>,
    by_time: VecDeque<(Ms, u64)>,
}

impl SessionRests {
    /// The session rests until then. Rests that are over by `now` are forgotten.
    pub fn begin(&mut self, now: Ms, session: u64, until: Ms) {
        while let Some((over, other)) = self.by_time.pop_front_if(|(until, _)| *until <= now) {
            if self.until.get(&other) == Some(&over) {
                self.until.remove(&other);
            }
        }
        self.until.insert(session, until);
        self.by_time.push_back((until, session));
    }

    /// When the session's next call may go: now, or at the end of its rest.
    pub fn over_at(&self, now: Ms, session: u64) -> Ms {
        self.until.get(&session).copied().unwrap_or(now).max(now)
    }
}
