//! Parts of each pending event that the scheduler does not keep: its body, its fingerprint and its
//! waiting client. Owned by the scheduler's host.

use std::collections::HashMap;
use std::rc::Rc;

use async_channel::Sender;
use plankhill_decisions::interface::{EventId, Ms};
use plankhill_event_log::AcceptedEvent;
use plankhill_hot_restart::SubmitResponse;

use crate::messages::Submission;
use crate::stream::Body;

/// Data of an event that is kept until the event completes.
pub(super) struct RetainedEvent {
    /// Number of the request that submitted the event; another request may have the same event id.
    /// 0 after a restart.
    request_number: u64,
    deadline: Ms,
    fingerprint: Option<Rc<str>>,
    body: Body,
    /// Channel to the waiting client, until the iteration that accepted the event is over.
    response: Option<Sender<SubmitResponse>>,
}

impl RetainedEvent {
    /// Creates the entry of an event whose client waits for the response.
    pub(super) fn submitted(submission: &Submission) -> Self {
        RetainedEvent {
            request_number: submission.request_number,
            deadline: submission.deadline,
            fingerprint: submission.event.fingerprint.clone(),
            body: submission.body.clone(),
            response: Some(submission.response.clone()),
        }
    }

    /// Creates the entry of an event that an earlier process accepted in its request
    /// `request_number`.
    pub(super) fn restored(event: AcceptedEvent<'static>, request_number: u64) -> Self {
        RetainedEvent {
            request_number,
            deadline: event.deadline,
            fingerprint: event
                .fingerprint
                .map(|fingerprint| fingerprint.as_ref().into()),
            body: event.body.as_ref().into(),
            response: None,
        }
    }

    pub(super) fn deadline(&self) -> Ms {
        self.deadline
    }

    pub(super) fn fingerprint(&self) -> Option<Rc<str>> {
        self.fingerprint.clone()
    }

    pub(super) fn body(&self) -> Body {
        self.body.clone()
    }

    /// The channel to the waiting client, if the event has one.
    pub(super) fn into_response(self) -> Option<Sender<SubmitResponse>> {
        self.response
    }
}

/// All events that this process retains because it may still send them.
#[derive(Default)]
pub(super) struct RetainedEvents {
    events: HashMap<EventId, RetainedEvent>,
}

impl RetainedEvents {
    pub(super) fn insert(&mut self, id: EventId, event: RetainedEvent) {
        self.events.insert(id, event);
    }

    pub(super) fn get(&self, id: &EventId) -> Option<&RetainedEvent> {
        self.events.get(id)
    }

    pub(super) fn contains(&self, id: &EventId) -> bool {
        self.events.contains_key(id)
    }

    pub(super) fn remove(&mut self, id: &EventId) -> Option<RetainedEvent> {
        self.events.remove(id)
    }

    /// Whether the event was submitted by the request with that number.
    pub(super) fn was_submitted_by(&self, id: &EventId, request_number: u64) -> bool {
        self.events
            .get(id)
            .is_some_and(|event| event.request_number == request_number)
    }

    /// Takes the channel to the waiting client of an event, because a client gets one response.
    pub(super) fn take_response(&mut self, id: &EventId) -> Option<Sender<SubmitResponse>> {
        self.events.get_mut(id)?.response.take()
    }

    pub(super) fn len(&self) -> usize {
        self.events.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Each event with the number of the request that submitted it.
    pub(super) fn request_numbers(&self) -> Vec<(EventId, u64)> {
        self.events
            .iter()
            .map(|(id, event)| (id.clone(), event.request_number))
            .collect()
    }
}
