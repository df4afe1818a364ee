//! Outcomes of copies that never were events here: rejected before they were submitted, or left by an instance that is
//! lost. The platform is notified of them as of any other, by a notice that the event log keeps until it is acknowledged.

use std::collections::HashMap;

use plankhill_decisions::interface::{EventId, Ms};
use plankhill_fanout::Outcome;

use super::BroadcastCopy;

/// The event loop may have no room for a notice now: each outcome is passed to it again after so long.
const RETRY_INTERVAL: Ms = 1000.0;
/// Outcomes passed to the event loop at a time; it has that much room at least.
const MAX_OUTCOMES_AT_ONCE: usize = 128;

/// An outcome that is due.
pub struct DueOutcome {
    pub event: EventId,
    pub copy: BroadcastCopy,
    pub outcome: Outcome,
}

struct Unsubmitted {
    copy: BroadcastCopy,
    outcome: Outcome,
    last_passed: Option<Ms>,
}

/// Bounded by what the control group keeps for this instance.
#[derive(Default)]
pub struct UnsubmittedOutcomes {
    outcomes: HashMap<EventId, Unsubmitted>,
}

impl UnsubmittedOutcomes {
    /// An outcome that is known already stays as it is.
    pub fn add(&mut self, event: EventId, copy: BroadcastCopy, outcome: Outcome) {
        self.outcomes.entry(event).or_insert(Unsubmitted {
            copy,
            outcome,
            last_passed: None,
        });
    }

    /// The platform has acknowledged the outcome.
    pub fn remove(&mut self, event: &EventId) -> Option<Outcome> {
        self.outcomes
            .remove(event)
            .map(|unsubmitted| unsubmitted.outcome)
    }

    pub fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
    }

    /// Drops outcomes that another instance notifies of now.
    pub fn retain(&mut self, is_ours: impl Fn(BroadcastCopy) -> bool) {
        self.outcomes
            .retain(|_, unsubmitted| is_ours(unsubmitted.copy));
    }

    /// Outcomes that the event loop is to have now.
    pub fn take_due(&mut self, now: Ms) -> Vec<DueOutcome> {
        let mut due = Vec::new();
        for (event, unsubmitted) in &mut self.outcomes {
            if due.len() == MAX_OUTCOMES_AT_ONCE {
                break;
            }
            let is_due = match unsubmitted.last_passed {
                Some(last) => now - last >= RETRY_INTERVAL,
                None => true,
            };
            if is_due {
                unsubmitted.last_passed = Some(now);
                due.push(DueOutcome {
                    event: event.clone(),
                    copy: unsubmitted.copy,
                    outcome: unsubmitted.outcome,
                });
            }
        }
        due
    }
}
