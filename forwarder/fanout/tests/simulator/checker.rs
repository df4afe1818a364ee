//! What must hold, judged by what subscribers, clients and the log saw. It knows nothing of stations.

use std::collections::{BTreeMap, BTreeSet};

use plankhill_fanout::*;

pub type Copy = (Subscriber, Position);

#[derive(Default)]
pub struct Checker {
    /// The last call of each subscriber's stream: which copy, by whom, out until when.
    calls: BTreeMap<Subscriber, (Position, u64, f64)>,
    called: BTreeSet<Copy>,
    delivered: BTreeSet<Copy>,
    noticed: BTreeSet<Copy>,
    written_down: BTreeSet<(u64, Copy)>,
    ended: BTreeMap<Copy, Outcome>,
    taken: BTreeSet<BroadcastId>,
    /// What clients heard: 202, or 503.
    promised: BTreeSet<BroadcastId>,
    refused: BTreeSet<BroadcastId>,
    open: BTreeMap<Position, (BroadcastId, BTreeSet<Subscriber>)>,
    pub all_ended: u64,
    pub handed: u64,
    pub breaches: BTreeSet<&'static str>,
}

impl Checker {
    fn holds(&mut self, what: bool, rule: &'static str) {
        if !what {
            self.breaches.insert(rule);
        }
    }

    pub fn taken(&mut self, id: BroadcastId, position: Position, members: BTreeSet<Subscriber>) {
        self.taken.insert(id.clone());
        let doubled = self.open.insert(position, (id, members)).is_some();
        self.holds(!doubled, "a broadcast is taken twice");
    }

    pub fn answered(&mut self, id: &BroadcastId, took: bool) {
        (if took {
            &mut self.promised
        } else {
            &mut self.refused
        })
        .insert(id.clone());
    }

    /// A call reaches the subscriber and is out until then.
    pub fn call(&mut self, now: f64, copy: Copy, by: u64, until: f64, binding: bool) {
        let (subscriber, position) = copy;
        if let Some((last, other, out)) = self.calls.insert(subscriber, (position, by, until)) {
            self.holds(position >= last, "order within a subscriber's stream");
            self.holds(other == by || out <= now, "one server for each subscriber");
            self.holds(out <= now, "one call out at a time");
        }
        let again = !self.called.insert(copy);
        self.holds(!(again && binding), "binding copies once");
        self.holds(
            !self.ended.contains_key(&copy),
            "nothing sent after its end",
        );
    }

    pub fn delivered(&mut self, copy: Copy) {
        self.delivered.insert(copy);
    }

    pub fn noticed(&mut self, copy: Copy) {
        self.noticed.insert(copy);
    }

    /// Written down by a forwarder that was handed it: by one process of one folder once.
    pub fn handed(&mut self, by: u64, copy: Copy, owed: bool) {
        self.handed += 1;
        let first = self.written_down.insert((by, copy));
        self.holds(!owed, "no doubled copy");
        self.holds(
            first || !self.delivered.contains(&copy) || !owed,
            "no doubled copy",
        );
    }

    /// The log counts an end.
    pub fn ended(&mut self, copy: Copy, outcome: Outcome) {
        let doubled = self.ended.insert(copy, outcome).is_some();
        self.holds(!doubled, "exactly one end");
        let told = outcome == Outcome::Completed || self.noticed.contains(&copy);
        self.holds(told, "an end that is told");
        let true_end = match outcome {
            Outcome::Completed => self.delivered.contains(&copy),
            Outcome::Rejected => !self.called.contains(&copy),
            Outcome::Abandoned => true,
        };
        self.holds(true_end, "an end that is true");
        let known = self
            .open
            .get_mut(&copy.1)
            .is_some_and(|(_, left)| left.remove(&copy.0));
        self.holds(known, "no doubled copy");
    }

    pub fn all_ended(&mut self, position: Position) {
        self.all_ended += 1;
        let left = self.open.remove(&position).map(|(_, left)| left.len());
        self.holds(left == Some(0), "no missing copy");
    }

    /// The day is over, and time enough has passed.
    pub fn over(&mut self, kept: usize, owed: usize) {
        self.holds(self.open.is_empty() && kept == 0, "no missing copy");
        let kept = self.promised.is_subset(&self.taken) && self.refused.is_disjoint(&self.taken);
        self.holds(kept, "an answer is kept");
        self.holds(owed == 0, "nothing owed for ever");
    }

    /// How many clients heard 202, and how many 503.
    pub fn answers(&self) -> (usize, usize) {
        (self.promised.len(), self.refused.len())
    }

    pub fn completed(&self) -> usize {
        self.ended
            .values()
            .filter(|o| **o == Outcome::Completed)
            .count()
    }
}
