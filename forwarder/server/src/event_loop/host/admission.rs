//! Admission of new events: an event is recorded in the log if there is capacity for it and its id
//! is new.

use plankhill_event_log::AcceptedEvent;
use slog::debug;

use super::SchedulerHost;
use crate::event_loop::accepted_types;
use crate::event_loop::retained_events::RetainedEvent;
use crate::messages::Submission;
use crate::notifier;

impl SchedulerHost {
    /// Records an event in the log if it can be accepted. The record is not on disk or committed
    /// yet when the function returns.
    pub(in crate::event_loop) fn accept(&mut self, submission: &Submission) -> bool {
        if !self.has_capacity_for(submission) || self.is_known(submission) {
            return false;
        }
        let event = &submission.event;
        let traffic_type = event.traffic_type.0;
        let config = &self.context.config;
        self.log.accept(AcceptedEvent {
            id: (&*event.id.0).into(),
            destination: event.destination.0,
            traffic_type: config.names.traffic[traffic_type].as_str().into(),
            deadline: submission.deadline,
            key: event.key.map(|key| key.0),
            fingerprint: event.fingerprint.as_deref().map(Into::into),
            body: (&*submission.body).into(),
            guarantee: Some(accepted_types::guarantee_of(
                &config.decisions.traffic_types[traffic_type],
            )),
        });
        debug!(self.context.log, "event accepted"; "event" => &*event.id.0,
            "traffic_type" => traffic_type, "destination" => event.destination.0);
        self.retained
            .insert(event.id.clone(), RetainedEvent::submitted(submission));
        true
    }

    /// Whether there is room for the event, for its outcome among the notices and for its log
    /// records, and no event of its order key must be delivered by another owner first.
    fn has_capacity_for(&self, submission: &Submission) -> bool {
        let pending = self.retained.len();
        let outcomes = self.notices.unacknowledged() + pending;
        let behind_other_owner = submission
            .event
            .key
            .is_some_and(|key| self.log.blocks_order_key(key));
        pending < self.context.config.decisions.event_capacity
            && outcomes + 1 < notifier::MAX_QUEUED_NOTICES
            && !behind_other_owner
            && self.log.has_capacity_for(submission.body.len())
    }

    /// Whether an event with the same id is pending, has an attempt in flight or completed
    /// recently.
    fn is_known(&self, submission: &Submission) -> bool {
        let id = &submission.event.id;
        self.log.contains(id)
            || self.attempts_in_flight.contains(id)
            || self.recently_completed.contains(id)
    }
}
