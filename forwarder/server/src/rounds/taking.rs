//! What is taken on.

use plankhill_event_log::AcceptedEvent;
use slog::debug;

use super::hands::{Hands, Held};
use super::promises;
use crate::mail::Handed;
use crate::notices;

impl Hands {
    /// Enters an event in the ledger if there is room for it.
    pub(super) fn takes(&mut self, handed: &Handed) -> bool {
        let event = &handed.event;
        let room = self.common.told.decisions.event_capacity;
        let full =
            self.held.len() >= room || self.unheard + self.held.len() + 1 >= notices::MAILBOX;
        let known = self.keeps.holds(&event.id)
            || self.out.contains(&event.id)
            || self.past.holds(&event.id);
        let behind = event.key.is_some_and(|key| self.keeps.is_behind(key));
        if full || known || behind || !self.keeps.has_room_for(handed.body.len()) {
            return false;
        }
        self.keeps.taken(AcceptedEvent {
            id: (&*event.id.0).into(),
            destination: event.destination.0,
            traffic_type: self.common.told.names.traffic[event.traffic.0]
                .as_str()
                .into(),
            deadline: handed.patience_ends,
            key: event.key.map(|key| key.0),
            fingerprint: event.fingerprint.as_deref().map(Into::into),
            body: (&*handed.body).into(),
            guarantee: Some(promises::of(
                &self.common.told.decisions.traffic_types[event.traffic.0],
            )),
        });
        debug!(self.common.log, "taken"; "event" => &*event.id.0, "traffic" => event.traffic.0,
            "destination" => event.destination.0);
        let answer = Some(handed.answer.clone());
        let fingerprint = event.fingerprint.clone();
        let held = Held {
            number: handed.number,
            patience_ends: handed.patience_ends,
            fingerprint,
            body: handed.body.clone(),
            answer,
        };
        self.held.insert(event.id.clone(), held);
        true
    }
}
