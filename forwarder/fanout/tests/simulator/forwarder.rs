//! A model of a forwarder: an event log that outlasts its process, and a module that sends one copy of a
//! subscriber at a time, in the order of submission.

use std::collections::{BTreeMap, VecDeque};

use plankhill_decisions::interface::{EventId, Ms};
use plankhill_fanout::*;

use super::checker::{Checker, CopyKey};
use super::PlantedFault;

pub const LONGEST_CALL: Ms = 300.0;

pub struct Entry {
    copy: CopyKey,
    binding: bool,
    patience_ends: Ms,
    may_have_run: bool,
    ended: Option<Outcome>,
}

pub struct Forwarder {
    pub id: u64,
    pub planted_fault: PlantedFault,
    /// Offset and rate of its clock.
    pub clock: (Ms, f64),
    pub event_log: BTreeMap<EventId, Entry>,
    queues: BTreeMap<Subscriber, VecDeque<EventId>>,
    /// Calls in flight, with the time of their end and whether they deliver.
    in_flight: BTreeMap<EventId, (Ms, bool)>,
    /// Until when a call of the previous process may be in flight.
    earlier_calls_until: Ms,
    /// Notices that are not acknowledged yet, and when they will be.
    notices: Vec<(Ms, EventId)>,
    /// Outcomes of copies that were never submitted, and when their notices will be acknowledged.
    unsubmitted_outcomes: Vec<(Ms, CopyKey, Outcome)>,
}

pub struct EventLog<'a>(pub &'a Forwarder);

impl Host for EventLog<'_> {
    fn is_pending(&self, event: &EventId) -> bool {
        self.0.planted_fault != PlantedFault::IgnoresEventLog
            && self.0.event_log.contains_key(event)
    }
}

impl Forwarder {
    pub fn new(id: u64, clock: (Ms, f64), planted_fault: PlantedFault) -> Self {
        Forwarder {
            id,
            planted_fault,
            clock,
            event_log: BTreeMap::new(),
            queues: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            earlier_calls_until: 0.0,
            notices: Vec::new(),
            unsubmitted_outcomes: Vec::new(),
        }
    }

    pub fn local(&self, now: Ms) -> Ms {
        self.clock.0 + now * self.clock.1
    }

    /// Ends the process. The event log survives.
    pub fn crash(&mut self) {
        self.queues.clear();
        self.in_flight.clear();
        self.notices.clear();
        self.unsubmitted_outcomes.clear();
    }

    pub fn restart(&mut self, now: Ms) {
        self.earlier_calls_until = now + LONGEST_CALL;
        let ids: Vec<EventId> = self.event_log.keys().cloned().collect();
        let mut resumed: Vec<(CopyKey, EventId)> = Vec::new();
        for id in ids {
            let resends = self.planted_fault == PlantedFault::ResendsBinding;
            let entry = &self.event_log[&id];
            match entry.ended {
                Some(_) => self.notices.push((now, id)),
                None if entry.binding && entry.may_have_run && !resends => {
                    self.end(now, &id, Outcome::Abandoned)
                }
                None => resumed.push((entry.copy, id)),
            }
        }
        resumed.sort_by_key(|((_, position), _)| *position);
        resumed
            .into_iter()
            .for_each(|((s, _), id)| self.queues.entry(s).or_default().push_back(id));
    }

    pub fn execute(&mut self, now: Ms, request: HostRequest, binding: bool, checker: &mut Checker) {
        match request {
            HostRequest::Submit {
                event,
                subscriber,
                position,
                deadline: patience_ends,
            } => {
                if self.planted_fault == PlantedFault::DropsSubmission && position.0 % 7 == 0 {
                    return;
                }
                let copy = (subscriber, position);
                checker.submitted(self.id, copy, self.event_log.contains_key(&event));
                let entry = Entry {
                    copy,
                    binding,
                    patience_ends,
                    may_have_run: false,
                    ended: None,
                };
                self.event_log.insert(event.clone(), entry);
                self.queues.entry(subscriber).or_default().push_back(event);
            }
            HostRequest::NotifyOutcome {
                subscriber,
                position,
                outcome,
                ..
            } => {
                self.unsubmitted_outcomes
                    .push((now + 50.0, (subscriber, position), outcome));
            }
            _ => (),
        }
    }

    fn end(&mut self, now: Ms, id: &EventId, outcome: Outcome) {
        if let Some(entry) = self.event_log.get_mut(id) {
            entry.ended = Some(outcome);
            self.notices.push((now + 50.0, id.clone()));
        }
    }

    /// Advances the module, its calls and its notices to `now`; `draw_call` draws how long each call takes
    /// and whether it delivers.
    pub fn advance(
        &mut self,
        now: Ms,
        mut draw_call: impl FnMut(CopyKey) -> (Ms, bool),
        local_instance: &mut LocalInstance,
        checker: &mut Checker,
    ) {
        let local = self.local(now);
        let ended_calls: Vec<EventId> = self
            .in_flight
            .iter()
            .filter(|(_, (at, _))| *at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended_calls {
            let delivers = self
                .in_flight
                .remove(&id)
                .is_some_and(|(_, delivers)| delivers);
            let Some(entry) = self.event_log.get(&id) else {
                continue;
            };
            let copy = entry.copy;
            if delivers {
                checker.delivered(copy);
                self.event_log.remove(&id);
                self.queues
                    .entry(copy.0)
                    .or_default()
                    .retain(|other| *other != id);
                local_instance.on_outcome_acknowledged(local, copy, Outcome::Completed);
            } else if entry.binding {
                self.end(now, &id, Outcome::Abandoned);
            }
        }
        let heads = self
            .queues
            .values()
            .filter(|_| self.earlier_calls_until <= now)
            .filter_map(|q| q.front());
        let heads: Vec<EventId> = heads
            .filter(|id| !self.in_flight.contains_key(id))
            .cloned()
            .collect();
        for id in heads {
            let Some(entry) = self
                .event_log
                .get_mut(&id)
                .filter(|entry| entry.ended.is_none())
            else {
                continue;
            };
            if entry.patience_ends <= local
                && self.planted_fault != PlantedFault::SendsAfterPatience
            {
                let outcome = if entry.may_have_run {
                    Outcome::Abandoned
                } else {
                    Outcome::Rejected
                };
                self.end(now, &id, outcome);
                continue;
            }
            entry.may_have_run = true;
            let (copy, binding) = (entry.copy, entry.binding);
            let (duration, delivers) = draw_call(copy);
            checker.call(now, copy, self.id, now + duration, binding);
            local_instance.on_attempt_started(local, copy);
            self.in_flight.insert(id, (now + duration, delivers));
        }
        let (acknowledged, notices) = std::mem::take(&mut self.notices)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.notices = notices;
        for (_, id) in acknowledged {
            let Some(entry) = self.event_log.remove(&id) else {
                continue;
            };
            self.queues
                .entry(entry.copy.0)
                .or_default()
                .retain(|other| *other != id);
            checker.notified(entry.copy);
            local_instance.on_outcome_acknowledged(
                local,
                entry.copy,
                entry.ended.unwrap_or(Outcome::Abandoned),
            );
        }
        let (acknowledged, unsubmitted_outcomes) = std::mem::take(&mut self.unsubmitted_outcomes)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.unsubmitted_outcomes = unsubmitted_outcomes;
        for (_, copy, outcome) in acknowledged {
            if self.planted_fault != PlantedFault::SkipsNotice {
                checker.notified(copy);
            }
            local_instance.on_outcome_acknowledged(local, copy, outcome);
        }
    }
}
