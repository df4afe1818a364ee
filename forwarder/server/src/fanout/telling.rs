//! Ends of copies that never were events here: dismissed before they were handed in, or left by an instance
//! that is lost. They are told like any other end, by a notice that the ledger keeps until it is heard.

use std::collections::HashMap;

use plankhill_decisions::interface::*;
use plankhill_fanout::Outcome;

use super::Copy;

/// The rounds may have no room for a notice now: told to them again after so long.
const AGAIN: Ms = 1000.0;
/// Told to the rounds at a time; they have that much room at least.
const MOST: usize = 128;

#[derive(Default)]
pub struct Telling(HashMap<EventId, Told>);

struct Told {
    copy: Copy,
    outcome: Outcome,
    last: Option<Ms>,
}

impl Telling {
    /// Bounded by what the control group keeps for this instance.
    pub fn add(&mut self, event: EventId, copy: Copy, outcome: Outcome) {
        self.0.entry(event).or_insert(Told {
            copy,
            outcome,
            last: None,
        });
    }

    pub fn heard(&mut self, event: &EventId) -> Option<Outcome> {
        self.0.remove(event).map(|told| told.outcome)
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Another instance tells it now.
    pub fn keep(&mut self, still: impl Fn(Copy) -> bool) {
        self.0.retain(|_, told| still(told.copy));
    }

    /// What the rounds are to be told now.
    pub fn due(&mut self, now: Ms) -> Vec<(EventId, Copy, Outcome)> {
        let due = self
            .0
            .iter_mut()
            .filter(|(_, told)| told.last.is_none_or(|last| now - last >= AGAIN));
        let due = due.take(MOST).map(|(event, told)| {
            told.last = Some(now);
            (event.clone(), told.copy, told.outcome)
        });
        due.collect()
    }
}
