//! What goes over to another process, and what one goes on from.

use std::collections::HashMap;

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{AcceptedEvent, Outcome, PendingEvent};
use plankhill_hot_restart::State;
use rmp_serde::encode::Error;

use super::hands::{Hands, Held};
use super::promises;
use crate::mail::Notice;

/// Requests that a process numbers after it handed over: far fewer.
const NUMBERED_AFTER: u64 = 1 << 32;

impl Hands {
    /// What another process needs besides what stands in the folder.
    pub(super) fn state(&self, forwarder: &Scheduler) -> Result<State, Error> {
        // Positions behind those of the settings mean nothing to another process.
        if self.holds_beside() {
            return Err(Error::Syntax(
                "an event is owed as earlier settings promised it".into(),
            ));
        }
        Ok(State {
            ahead: self.common.clock.ahead(),
            module: rmp_serde::to_vec(forwarder)?,
            numbers: self
                .held
                .iter()
                .map(|(id, held)| (id.clone(), held.number))
                .collect(),
            next_number: self.common.numbers.get() + NUMBERED_AFTER,
            out: self.out.iter().cloned().collect(),
            pings: self.pings.iter().cloned().collect(),
            past: self.past.by_end.iter().cloned().collect(),
            once_listed: self.left_out.bans.remembered().map(str::to_owned).collect(),
            drained: self.common.gate.is_drained(),
        })
    }

    /// Whether the decisions may hold an event of a type beside those of the settings.
    fn holds_beside(&self) -> bool {
        let told = &self.common.told;
        let owes = || {
            self.keeps
                .file()
                .is_none_or(|ledger| promises::broken(told, &ledger.pending_events()).is_some())
        };
        // One that is over stays with them until its call has ended.
        !self.promises.is_empty() && (owes() || self.out.iter().any(|id| !self.keeps.holds(id)))
    }

    /// Goes on where another process stood still; what it owed stands in the ledger.
    pub(super) fn inherit(&mut self, state: State, owed: Vec<PendingEvent>) {
        let numbers: HashMap<EventId, u64> = state.numbers.into_iter().collect();
        for PendingEvent {
            event: taken,
            outcome: ended,
            ..
        } in owed
        {
            let id = EventId(taken.id.as_ref().into());
            if let Some((outcome, come_back_after)) = ended {
                // It may have been heard already; told twice it does no harm.
                self.notices.push(Notice {
                    event: id,
                    outcome,
                    come_back_after,
                });
                continue;
            }
            let number = numbers.get(&id).copied().unwrap_or(0);
            let fingerprint = taken.fingerprint.map(|f| f.as_ref().into());
            let patience_ends = taken.deadline;
            let held = Held {
                number,
                patience_ends,
                fingerprint,
                body: taken.body.as_ref().into(),
                answer: None,
            };
            self.held.insert(id, held);
        }
        self.out = state.out.into_iter().collect();
        self.pings = state.pings.into_iter().collect();
        state
            .past
            .iter()
            .for_each(|(at, id)| self.past.add(id, *at));
        state
            .once_listed
            .iter()
            .for_each(|id| self.left_out.bans.remember(id.as_str().into()));
        self.common.gate.drain(state.drained);
    }

    pub(super) fn restore(&mut self, to: &mut Scheduler, owed: PendingEvent) {
        let ran = self.maybe_run(&owed);
        let PendingEvent {
            event: taken,
            attempts: sends,
            in_flight: was_out,
            outcome: ended,
            ..
        } = owed;
        let id = EventId(taken.id.as_ref().into());
        self.common
            .fanout
            .iter()
            .for_each(|fanout| fanout.restored(&id));
        let known = self.enter(to, &taken);
        let (None, true) = (ended, known) else {
            // It has ended, or can't be sent any more, as nobody knows what was promised of it.
            let untried = if ran.is_none() {
                Outcome::Rejected
            } else {
                Outcome::Abandoned
            };
            let (outcome, come_back_after) = ended.unwrap_or((untried, None));
            to.restore_completed(&id);
            self.ended(&id, outcome, come_back_after);
            return;
        };
        let fingerprint = taken.fingerprint.map(|f| f.as_ref().into());
        let patience_ends = taken.deadline;
        let held = Held {
            number: 0,
            patience_ends,
            fingerprint,
            body: taken.body.as_ref().into(),
            answer: None,
        };
        self.held.insert(id.clone(), held);
        to.restore_attempts(&id, sends, ran, was_out.is_some());
    }

    /// Hands an event of a record to the module; false if nobody knows its traffic type.
    pub(super) fn enter(&mut self, to: &mut Scheduler, taken: &AcceptedEvent) -> bool {
        let Some(traffic) = self.promises.find(to, &self.common.told, taken) else {
            return false;
        };
        let (id, key) = (EventId(taken.id.as_ref().into()), taken.key.map(OrderKey));
        to.accept_event(
            id,
            DestinationId(taken.destination),
            traffic,
            taken.deadline,
            key,
        );
        true
    }

    /// When and where its first send went that may have run. A zone that the settings do not name any more is
    /// the same as none: what is bound to its group is not sent again, and ends as what may have run.
    pub(super) fn maybe_run(&self, owed: &PendingEvent) -> Option<(Ms, ZoneId)> {
        let (at, name) = owed.may_have_run.as_ref().or(owed.in_flight.as_ref())?;
        let zone = self
            .common
            .told
            .names
            .zones
            .iter()
            .position(|zone| zone == name);
        Some((*at, zone.map_or(ZoneId::UNKNOWN, ZoneId)))
    }
}
