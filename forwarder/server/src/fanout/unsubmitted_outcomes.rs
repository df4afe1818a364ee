//! Outcomes of copies that never were events at this instance: rejected before they were submitted,
//! or left by an instance that is lost. The platform is notified of them as of any other outcome,
//! by a notice that the event log keeps until it is acknowledged.

use std::collections::HashMap;

use plankhill_decisions::interface::{EventId, Ms};
use plankhill_fanout::Outcome;

use super::BroadcastCopy;

/// Interval at which each outcome is passed to the event loop again, which may have had no capacity
/// for a notice.
const RETRY_INTERVAL: Ms = 1000.0;
/// Limit of outcomes passed to the event loop at a time; it has capacity for at least this many.
const MAX_OUTCOMES_AT_ONCE: usize = 128;

/// An outcome that is to be passed to the event loop now.
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

/// Outcomes of unsubmitted copies, bounded by the copies that the control group stores for this
/// instance.
#[derive(Default)]
pub struct UnsubmittedOutcomes {
    outcomes: HashMap<EventId, Unsubmitted>,
}

impl UnsubmittedOutcomes {
    /// Adds an outcome. An outcome that is already known for the event is kept.
    pub fn add(&mut self, event: EventId, copy: BroadcastCopy, outcome: Outcome) {
        self.outcomes.entry(event).or_insert(Unsubmitted {
            copy,
            outcome,
            last_passed: None,
        });
    }

    /// Removes an outcome that the platform has acknowledged.
    pub fn remove(&mut self, event: &EventId) -> Option<Outcome> {
        self.outcomes
            .remove(event)
            .map(|unsubmitted| unsubmitted.outcome)
    }

    pub fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
    }

    /// Drops the outcomes of copies that are assigned to another instance, which notifies of them.
    pub fn retain(&mut self, is_assigned: impl Fn(BroadcastCopy) -> bool) {
        self.outcomes
            .retain(|_, unsubmitted| is_assigned(unsubmitted.copy));
    }

    /// Outcomes to pass to the event loop now.
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
