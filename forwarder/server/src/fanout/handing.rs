//! Copies and their ends on their way into the rounds.

use plankhill_decisions::interface::*;
use plankhill_event_log::AcceptedEvent;
use plankhill_fanout::Outcome;
use plankhill_hot_restart::{Event, Verdict};

use super::actor::Actor;
use super::{end_of, Copy};
use crate::exchange::Body;
use crate::mail::{CameIn, Handed};

impl Actor {
    pub(super) async fn hands_in(&mut self, id: EventId, copy: Copy, patience_ends: Ms) {
        let Some((event, body)) = self.event(&id, copy, patience_ends) else {
            self.fanout
                .telling
                .borrow_mut()
                .add(id, copy, Outcome::Rejected);
            return;
        };
        let (answer, verdict) = async_channel::bounded(1);
        let number = self.common.number();
        self.fanout.owed.borrow_mut().insert(id.clone());
        let handed = Handed {
            number,
            event,
            patience_ends,
            body,
            answer,
        };
        if self.to_rounds.send(CameIn::Event(handed)).await.is_err() {
            return;
        }
        let fanout = self.fanout.clone();
        let hears = async move {
            let outcome = match verdict.recv().await {
                Ok(Verdict::Refused(_)) => Outcome::Rejected,
                Ok(Verdict::Failed) => Outcome::Abandoned,
                Ok(Verdict::TakenOn) | Err(_) => return,
            };
            // It has ended before its ledger entry counted: no notice of it goes out by itself.
            fanout.owed.borrow_mut().remove(&id);
            fanout.telling.borrow_mut().add(id, copy, outcome);
            fanout.rings();
        };
        self.common.executor.spawn(hears).detach();
    }

    /// None if this instance does not serve it any more, or its settings lack the traffic type.
    fn event(&self, id: &EventId, copy: Copy, patience_ends: Ms) -> Option<(Event, Body)> {
        let station = self.fanout.station.borrow();
        let broadcast = station.fields(copy.1).filter(|_| station.holds(copy))?;
        let event = Event {
            id: id.clone(),
            destination: copy.0,
            traffic: *self.names.get(&broadcast.traffic)?,
            patience: patience_ends - self.common.clock.now(),
            key: broadcast.key.map(OrderKey),
            fingerprint: broadcast.fingerprint.as_deref().map(Into::into),
        };
        Some((event, broadcast.body.as_slice().into()))
    }

    /// Ends that no event here has: the rounds note them and tell them.
    pub(super) async fn tells(&mut self) {
        let fanout = self.fanout.clone();
        fanout
            .telling
            .borrow_mut()
            .keep(|copy| fanout.station.borrow().holds(copy));
        let due = fanout.telling.borrow_mut().due(self.common.clock.now());
        for (event, copy, outcome) in due {
            let Some(taken) = self.noted(&event, copy) else {
                continue;
            };
            if self
                .to_rounds
                .send(CameIn::TellEnd(taken, end_of(outcome)))
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// As the ledger keeps it until its end is heard.
    fn noted(&self, event: &EventId, copy: Copy) -> Option<AcceptedEvent<'static>> {
        let station = self.fanout.station.borrow();
        let broadcast = station.fields(copy.1)?;
        Some(AcceptedEvent {
            id: event.0.to_string().into(),
            destination: copy.0 .0,
            traffic_type: broadcast.traffic.clone().into(),
            deadline: broadcast.at + broadcast.patience,
            key: broadcast.key,
            fingerprint: None,
            body: Vec::new().into(),
            guarantee: None, // nothing but its end is owed
        })
    }
}
