//! A forwarder on paper: a ledger that outlasts its process, and a module that sends one copy of a
//! subscriber at a time, in the order handed in.

use std::collections::{BTreeMap, VecDeque};

use plankhill_decisions::interface::{EventId, Ms};
use plankhill_fanout::*;

use super::checker::{Checker, Copy};
use super::PlantedFault;

pub const LONGEST_CALL: Ms = 300.0;

pub struct Entry {
    copy: Copy,
    binding: bool,
    patience_ends: Ms,
    may_have_run: bool,
    ended: Option<Outcome>,
}

pub struct Forwarder {
    pub id: u64,
    pub planted_fault: PlantedFault,
    /// Its clock is so far off, and so much faster.
    pub clock: (Ms, f64),
    pub ledger: BTreeMap<EventId, Entry>,
    queues: BTreeMap<Subscriber, VecDeque<EventId>>,
    /// Calls out, with the time of their end.
    out: BTreeMap<EventId, (Ms, bool)>,
    /// Until then a call of the process before may be out.
    rests: Ms,
    /// Notices on their way.
    notices: Vec<(Ms, EventId)>,
    /// Ends without an event: copies that were never handed in.
    told: Vec<(Ms, Copy, Outcome)>,
}

pub struct Ledger<'a>(pub &'a Forwarder);

impl Host for Ledger<'_> {
    fn is_pending(&self, event: &EventId) -> bool {
        self.0.planted_fault != PlantedFault::ForgetsLedger && self.0.ledger.contains_key(event)
    }
}

impl Forwarder {
    pub fn new(id: u64, clock: (Ms, f64), planted_fault: PlantedFault) -> Self {
        Forwarder {
            id,
            planted_fault,
            clock,
            ledger: BTreeMap::new(),
            queues: BTreeMap::new(),
            out: BTreeMap::new(),
            rests: 0.0,
            notices: Vec::new(),
            told: Vec::new(),
        }
    }

    pub fn local(&self, now: Ms) -> Ms {
        self.clock.0 + now * self.clock.1
    }

    /// The process is gone; the ledger is not.
    pub fn crash(&mut self) {
        self.queues.clear();
        self.out.clear();
        self.notices.clear();
        self.told.clear();
    }

    pub fn restart(&mut self, now: Ms) {
        self.rests = now + LONGEST_CALL;
        let ids: Vec<EventId> = self.ledger.keys().cloned().collect();
        let mut resumed: Vec<(Copy, EventId)> = Vec::new();
        for id in ids {
            let resends = self.planted_fault == PlantedFault::ResendsBinding;
            let entry = &self.ledger[&id];
            match entry.ended {
                Some(_) => self.notices.push((now, id)),
                None if entry.binding && entry.may_have_run && !resends => {
                    self.ends(now, &id, Outcome::Abandoned)
                }
                None => resumed.push((entry.copy, id)),
            }
        }
        resumed.sort_by_key(|((_, position), _)| *position);
        resumed
            .into_iter()
            .for_each(|((s, _), id)| self.queues.entry(s).or_default().push_back(id));
    }

    pub fn carries_out(
        &mut self,
        now: Ms,
        order: HostRequest,
        binding: bool,
        checker: &mut Checker,
    ) {
        match order {
            HostRequest::Submit {
                event,
                subscriber,
                position,
                deadline: patience_ends,
            } => {
                if self.planted_fault == PlantedFault::DropsHandIn && position.0 % 7 == 0 {
                    return;
                }
                let copy = (subscriber, position);
                checker.handed(self.id, copy, self.ledger.contains_key(&event));
                let entry = Entry {
                    copy,
                    binding,
                    patience_ends,
                    may_have_run: false,
                    ended: None,
                };
                self.ledger.insert(event.clone(), entry);
                self.queues.entry(subscriber).or_default().push_back(event);
            }
            HostRequest::NotifyOutcome {
                subscriber,
                position,
                outcome,
                ..
            } => {
                self.told
                    .push((now + 50.0, (subscriber, position), outcome));
            }
            _ => (),
        }
    }

    fn ends(&mut self, now: Ms, id: &EventId, outcome: Outcome) {
        if let Some(entry) = self.ledger.get_mut(id) {
            entry.ended = Some(outcome);
            self.notices.push((now + 50.0, id.clone()));
        }
    }

    /// What the module, its calls and its notices do by now; `fails` draws which calls fail.
    pub fn works(
        &mut self,
        now: Ms,
        mut takes: impl FnMut(Copy) -> (Ms, bool),
        station: &mut LocalInstance,
        checker: &mut Checker,
    ) {
        let local = self.local(now);
        let over: Vec<EventId> = self
            .out
            .iter()
            .filter(|(_, (at, _))| *at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            let delivers = self.out.remove(&id).is_some_and(|(_, delivers)| delivers);
            let Some(entry) = self.ledger.get(&id) else {
                continue;
            };
            let copy = entry.copy;
            if delivers {
                checker.delivered(copy);
                self.ledger.remove(&id);
                self.queues
                    .entry(copy.0)
                    .or_default()
                    .retain(|other| *other != id);
                station.on_outcome_acknowledged(local, copy, Outcome::Completed);
            } else if entry.binding {
                self.ends(now, &id, Outcome::Abandoned);
            }
        }
        let heads = self
            .queues
            .values()
            .filter(|_| self.rests <= now)
            .filter_map(|q| q.front());
        let heads: Vec<EventId> = heads
            .filter(|id| !self.out.contains_key(id))
            .cloned()
            .collect();
        for id in heads {
            let Some(entry) = self
                .ledger
                .get_mut(&id)
                .filter(|entry| entry.ended.is_none())
            else {
                continue;
            };
            if entry.patience_ends <= local && self.planted_fault != PlantedFault::OutlastsPatience
            {
                let outcome = if entry.may_have_run {
                    Outcome::Abandoned
                } else {
                    Outcome::Rejected
                };
                self.ends(now, &id, outcome);
                continue;
            }
            entry.may_have_run = true;
            let (copy, binding) = (entry.copy, entry.binding);
            let (took, delivers) = takes(copy);
            checker.call(now, copy, self.id, now + took, binding);
            station.on_attempt_started(local, copy);
            self.out.insert(id, (now + took, delivers));
        }
        let (heard, notices) = std::mem::take(&mut self.notices)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.notices = notices;
        for (_, id) in heard {
            let Some(entry) = self.ledger.remove(&id) else {
                continue;
            };
            self.queues
                .entry(entry.copy.0)
                .or_default()
                .retain(|other| *other != id);
            checker.noticed(entry.copy);
            station.on_outcome_acknowledged(
                local,
                entry.copy,
                entry.ended.unwrap_or(Outcome::Abandoned),
            );
        }
        let (heard, told) = std::mem::take(&mut self.told)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.told = told;
        for (_, copy, outcome) in heard {
            if self.planted_fault != PlantedFault::TellsNoEnd {
                checker.noticed(copy);
            }
            station.on_outcome_acknowledged(local, copy, outcome);
        }
    }
}
