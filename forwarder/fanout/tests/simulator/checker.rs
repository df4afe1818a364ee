//! The invariants, checked against what subscribers, clients and the log observed, independently of
//! `LocalInstance`.

use std::collections::{BTreeMap, BTreeSet};

use plankhill_fanout::*;

pub type CopyKey = (Subscriber, Position);

#[derive(Default)]
pub struct Checker {
    /// The last call of each subscriber's stream: its position, the instance, and until when it is in flight.
    calls: BTreeMap<Subscriber, (Position, u64, f64)>,
    called: BTreeSet<CopyKey>,
    delivered: BTreeSet<CopyKey>,
    notified: BTreeSet<CopyKey>,
    recorded: BTreeSet<(u64, CopyKey)>,
    ended: BTreeMap<CopyKey, Outcome>,
    accepted_ids: BTreeSet<BroadcastId>,
    /// Broadcasts that clients got a 202 or a 503 for.
    answered_202: BTreeSet<BroadcastId>,
    answered_503: BTreeSet<BroadcastId>,
    open: BTreeMap<Position, (BroadcastId, BTreeSet<Subscriber>)>,
    pub all_ended: u64,
    pub submitted: u64,
    pub violations: BTreeSet<&'static str>,
}

impl Checker {
    fn check(&mut self, condition: bool, rule: &'static str) {
        if !condition {
            self.violations.insert(rule);
        }
    }

    pub fn accepted(&mut self, id: BroadcastId, position: Position, members: BTreeSet<Subscriber>) {
        self.accepted_ids.insert(id.clone());
        let is_duplicate = self.open.insert(position, (id, members)).is_some();
        self.check(!is_duplicate, "a broadcast is accepted once");
    }

    pub fn answered(&mut self, id: &BroadcastId, accepted: bool) {
        (if accepted {
            &mut self.answered_202
        } else {
            &mut self.answered_503
        })
        .insert(id.clone());
    }

    /// A call reaches the subscriber and is in flight until `until`.
    pub fn call(&mut self, now: f64, copy: CopyKey, by: u64, until: f64, binding: bool) {
        let (subscriber, position) = copy;
        if let Some((last, other, in_flight_until)) =
            self.calls.insert(subscriber, (position, by, until))
        {
            self.check(position >= last, "order within a subscriber's stream");
            self.check(
                other == by || in_flight_until <= now,
                "one server for each subscriber",
            );
            self.check(in_flight_until <= now, "one call in flight at a time");
        }
        let again = !self.called.insert(copy);
        self.check(!(again && binding), "binding copies once");
        self.check(
            !self.ended.contains_key(&copy),
            "nothing sent after its end",
        );
    }

    pub fn delivered(&mut self, copy: CopyKey) {
        self.delivered.insert(copy);
    }

    pub fn notified(&mut self, copy: CopyKey) {
        self.notified.insert(copy);
    }

    /// A forwarder records a copy that it is to submit. `is_recorded` is true if its event log already has
    /// the copy, which is a violation.
    pub fn submitted(&mut self, by: u64, copy: CopyKey, is_recorded: bool) {
        self.submitted += 1;
        let first = self.recorded.insert((by, copy));
        self.check(!is_recorded, "no duplicate copy");
        self.check(
            first || !self.delivered.contains(&copy) || !is_recorded,
            "no duplicate copy",
        );
    }

    /// The log counts an end.
    pub fn ended(&mut self, copy: CopyKey, outcome: Outcome) {
        let is_duplicate = self.ended.insert(copy, outcome).is_some();
        self.check(!is_duplicate, "exactly one end");
        let was_notified = outcome == Outcome::Completed || self.notified.contains(&copy);
        self.check(was_notified, "an outcome is notified before it is reported");
        let is_true = match outcome {
            Outcome::Completed => self.delivered.contains(&copy),
            Outcome::Rejected => !self.called.contains(&copy),
            Outcome::Abandoned => true,
        };
        self.check(is_true, "a reported outcome is true");
        let known = self
            .open
            .get_mut(&copy.1)
            .is_some_and(|(_, remaining)| remaining.remove(&copy.0));
        self.check(known, "no duplicate copy");
    }

    pub fn all_ended(&mut self, position: Position) {
        self.all_ended += 1;
        let remaining = self
            .open
            .remove(&position)
            .map(|(_, remaining)| remaining.len());
        self.check(remaining == Some(0), "no missing copy");
    }

    /// The simulation is over, with enough time for all copies to end.
    pub fn finish(&mut self, kept: usize, owed: usize) {
        self.check(self.open.is_empty() && kept == 0, "no missing copy");
        let kept = self.answered_202.is_subset(&self.accepted_ids)
            && self.answered_503.is_disjoint(&self.accepted_ids);
        self.check(kept, "the log agrees with the answers to clients");
        self.check(owed == 0, "no event stays pending");
    }

    /// Number of broadcasts that were answered with 202 and with 503.
    pub fn answers(&self) -> (usize, usize) {
        (self.answered_202.len(), self.answered_503.len())
    }

    pub fn completed(&self) -> usize {
        self.ended
            .values()
            .filter(|o| **o == Outcome::Completed)
            .count()
    }
}
