//! Submission of copies and of their outcomes to the event loop.

use plankhill_decisions::interface::{EventId, Ms, OrderKey};
use plankhill_event_log::AcceptedEvent;
use plankhill_fanout::Outcome;
use plankhill_hot_restart::{EventHeader, SubmitResponse};

use super::actor::Actor;
use super::unsubmitted_outcomes::DueOutcome;
use super::{to_event_outcome, BroadcastCopy};
use crate::messages::{Input, Submission};
use crate::stream::Body;

impl Actor {
    /// Submits a copy as an event of its own.
    pub(super) async fn submit_copy(&mut self, id: EventId, copy: BroadcastCopy, deadline: Ms) {
        let Some((event, body)) = self.event_of(&id, copy, deadline) else {
            self.broadcasts
                .unsubmitted
                .borrow_mut()
                .add(id, copy, Outcome::Rejected);
            return;
        };
        let (response, received) = async_channel::bounded(1);
        let request_number = self.context.next_request_number();
        self.broadcasts.pending.borrow_mut().insert(id.clone());
        let submission = Submission {
            request_number,
            event,
            deadline,
            body,
            response,
        };
        if self
            .to_event_loop
            .send(Input::Submitted(submission))
            .await
            .is_err()
        {
            return;
        }
        let broadcasts = self.broadcasts.clone();
        let await_response = async move {
            let outcome = match received.recv().await {
                Ok(SubmitResponse::Rejected(_)) => Outcome::Rejected,
                Ok(SubmitResponse::Failed) => Outcome::Abandoned,
                Ok(SubmitResponse::Accepted) | Err(_) => return,
            };
            // The event ended before its record in the log was valid, so that the event loop sends
            // no notice of it.
            broadcasts.pending.borrow_mut().remove(&id);
            broadcasts.unsubmitted.borrow_mut().add(id, copy, outcome);
            broadcasts.wake_actor();
        };
        self.context.executor.spawn(await_response).detach();
    }

    /// Event of a copy; `None` if the copy is no longer assigned to this instance, or its settings
    /// lack the traffic type.
    fn event_of(
        &self,
        id: &EventId,
        copy: BroadcastCopy,
        deadline: Ms,
    ) -> Option<(EventHeader, Body)> {
        let instance = self.broadcasts.instance.borrow();
        let (destination, position) = copy;
        let broadcast = instance
            .broadcast(position)
            .filter(|_| instance.has_copy(copy))?;
        let event = EventHeader {
            id: id.clone(),
            destination,
            traffic_type: *self.traffic_types.get(&broadcast.traffic)?,
            timeout: deadline - self.context.clock.now(),
            key: broadcast.key.map(OrderKey),
            fingerprint: broadcast.fingerprint.as_deref().map(Into::into),
        };
        Some((event, broadcast.body.as_slice().into()))
    }

    /// Passes the outcomes of copies that are not events to the event loop, which records them and
    /// notifies the platform.
    pub(super) async fn pass_unsubmitted_outcomes(&mut self) {
        let broadcasts = self.broadcasts.clone();
        let is_assigned = |copy| broadcasts.instance.borrow().has_copy(copy);
        broadcasts.unsubmitted.borrow_mut().retain(is_assigned);
        let due = broadcasts
            .unsubmitted
            .borrow_mut()
            .take_due(self.context.clock.now());
        for DueOutcome {
            event,
            copy,
            outcome,
        } in due
        {
            let Some(event) = self.accepted_event(&event, copy) else {
                continue;
            };
            let outcome = to_event_outcome(outcome);
            let input = Input::BroadcastOutcome { event, outcome };
            if self.to_event_loop.send(input).await.is_err() {
                return;
            }
        }
    }

    /// Record of the copy in the event log until its outcome is acknowledged.
    fn accepted_event(
        &self,
        event: &EventId,
        (destination, position): BroadcastCopy,
    ) -> Option<AcceptedEvent<'static>> {
        let instance = self.broadcasts.instance.borrow();
        let broadcast = instance.broadcast(position)?;
        Some(AcceptedEvent {
            id: event.0.to_string().into(),
            destination: destination.0,
            traffic_type: broadcast.traffic.clone().into(),
            deadline: broadcast.at + broadcast.patience,
            key: broadcast.key,
            fingerprint: None,
            body: Vec::new().into(),
            guarantee: None, // Only the outcome is pending.
        })
    }
}
