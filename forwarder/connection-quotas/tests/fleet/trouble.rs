//! What goes wrong in the fleet, by chance and on purpose.

use plankhill_connection_quotas::leases::{LeaseHolder, LeaseTable, MemberIncarnation};
use rand::Rng;

use super::{facts, Fleet, STALL, STEP};

/// What the fleet gets wrong on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Planted {
    Nothing,
    /// Clocks drift by more than the policy says.
    DriftIgnored,
    /// Leases are given on before a process that stands still was ended.
    StallIgnored,
    /// Leases are counted from their coming in, not from the asking.
    CountedFromReceipt,
    /// A new giver takes what it finds for over.
    OldClocksTrusted,
    /// A holder says that it has closed down before it has.
    ClosedTooEarly,
    /// A holder goes on past its lease's end.
    EndIgnored,
}

#[derive(Default)]
pub struct Seen {
    pub most_open: u32,
    pub passed: bool,
    pub opened: u64,
    pub changes_of_leader: u32,
    pub stalls: u32,
    pub ended_by_the_kernel: u32,
}

impl Fleet {
    pub(super) fn chance(&mut self, a_minute: f64) -> bool {
        self.chance
            .random_bool((a_minute * STEP / 60_000.0).min(1.0))
    }

    pub(super) fn trouble(&mut self) {
        for at in 0..self.instances.len() {
            if self.faults && self.chance(6.0) {
                let span = self.chance.random_range(20.0..1_500.0);
                self.stall(at, span);
            }
            if self.faults
                && self.instances[at].is_near_its_end(self.now)
                && self.chance.random_bool(0.2)
            {
                let span = self.chance.random_range(300.0..STALL);
                self.stall(at, span);
            }
            if self.faults && self.chance(2.0) {
                self.crash(at);
            }
            if self.faults && self.chance(3.0) {
                self.cut_off[at] = self.now + self.chance.random_range(100.0..8_000.0);
            }
            if self.chance(20.0) {
                self.instances[at].wants = self.chance.random_range(0..12);
            }
        }
        let unheard = !self.is_up(self.leader) || self.cut_off[self.leader] > self.now;
        if (unheard && self.chance(120.0)) || (self.faults && self.chance(2.0)) {
            let others: Vec<usize> = (0..self.instances.len())
                .filter(|at| self.is_up(*at) && self.cut_off[*at] <= self.now)
                .collect();
            if !others.is_empty() {
                self.leader = others[self.chance.random_range(0..others.len())];
                self.term += 1;
                self.seen.changes_of_leader += 1;
            }
        }
    }

    pub fn stall(&mut self, at: usize, span: f64) {
        self.seen.stalls += 1;
        let now = self.now;
        let about = self.chance.random_bool(0.5) && self.instances[at].room(now) > 0;
        let instance = &mut self.instances[at];
        instance.stalled_until = instance.stalled_until.max(now + span.min(STALL));
        instance.about_to_open |= about;
        if span >= STALL {
            instance.down_until = now + span + 500.0;
            self.seen.ended_by_the_kernel += 1;
        }
    }

    fn crash(&mut self, at: usize) {
        let back = self.now + self.chance.random_range(100.0..3_000.0);
        self.instances[at].down_until = back;
        self.ended(at);
    }

    /// Its process is gone, and what it knew; the next one has the log to read.
    pub(super) fn ended(&mut self, at: usize) {
        self.lives += 1;
        let instance = &mut self.instances[at];
        instance.open.clear();
        instance.holder = LeaseHolder::new(instance.name.clone(), MemberIncarnation(self.lives));
        instance.book = LeaseTable::restore(&instance.saved.1).expect("was a book");
        (instance.heard, instance.gives) = (instance.saved.0, None);
        (instance.stalled_until, instance.about_to_open) = (0.0, false);
        instance.standing = instance
            .book
            .standing(&facts(), &instance.name)
            .map_or(0, |(_, standing)| standing);
    }

    pub(super) fn is_up(&self, at: usize) -> bool {
        self.instances[at].down_until <= self.now && self.instances[at].stalled_until <= self.now
    }
}
