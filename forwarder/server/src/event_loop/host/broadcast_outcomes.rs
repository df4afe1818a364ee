//! Outcomes of a broadcast's copies that were never submitted as events.

use plankhill_decisions::interface::EventId;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{AcceptedEvent, Outcome};

use super::SchedulerHost;
use crate::notifier;

impl SchedulerHost {
    /// Records an outcome and notifies the platform of it, if there is capacity now; the outcome is
    /// submitted again until it is acknowledged. The scheduler treats the event as one that an
    /// earlier process completed: the next event of its order key waits for the acknowledgement.
    pub(super) fn record_outcome(
        &mut self,
        scheduler: &mut Scheduler,
        event: AcceptedEvent<'static>,
        outcome: Outcome,
    ) {
        let id = EventId(event.id.as_ref().into());
        if self.log.contains(&id) || self.attempts_in_flight.contains(&id) {
            return;
        }
        let outcomes = self.notices.unacknowledged() + self.notices.staged() + self.retained.len();
        if outcomes + 1 >= notifier::MAX_QUEUED_NOTICES || !self.log.has_capacity_for(0) {
            return;
        }
        self.log.accept(event.clone());
        if self.submit_to_scheduler(scheduler, &event) {
            scheduler.restore_completed(&id);
        }
        self.end_event(&id, outcome, None);
    }
}
