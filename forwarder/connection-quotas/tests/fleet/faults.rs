//! Random faults of the fleet, and bugs that are injected to verify that the check detects them.

use plankhill_connection_quotas::leases::{LeaseHolder, LeaseTable, MemberIncarnation};
use rand::Rng;

use super::{facts, Fleet, STALL, STEP};

/// A bug that is injected into the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InjectedBug {
    Nothing,
    /// Clocks drift by more than the policy allows.
    DriftIgnored,
    /// The issuer does not wait until a stalled process has been killed.
    StallIgnored,
    /// The holder counts a lease from its receipt instead of from the request.
    CountedFromReceipt,
    /// A new issuer treats all leases in the table as expired.
    OldLeasesIgnored,
    /// A holder reports that it has closed connections down before it has.
    ClosedTooEarly,
    /// A holder ignores the expiry of its lease.
    ExpiryIgnored,
}

#[derive(Default)]
pub struct Observations {
    pub most_open: u32,
    pub exceeded: bool,
    pub opened: u64,
    pub leader_changes: u32,
    pub stalls: u32,
    pub kernel_kills: u32,
}

impl Fleet {
    pub(super) fn occurs(&mut self, per_minute: f64) -> bool {
        self.rng
            .random_bool((per_minute * STEP / 60_000.0).min(1.0))
    }

    pub(super) fn inject_faults(&mut self) {
        for at in 0..self.instances.len() {
            if self.faults_enabled && self.occurs(6.0) {
                let duration = self.rng.random_range(20.0..1_500.0);
                self.stall(at, duration);
            }
            if self.faults_enabled
                && self.instances[at].is_near_expiry(self.now)
                && self.rng.random_bool(0.2)
            {
                let duration = self.rng.random_range(300.0..STALL);
                self.stall(at, duration);
            }
            if self.faults_enabled && self.occurs(2.0) {
                self.crash(at);
            }
            if self.faults_enabled && self.occurs(3.0) {
                self.cut_off[at] = self.now + self.rng.random_range(100.0..8_000.0);
            }
            if self.occurs(20.0) {
                self.instances[at].demand = self.rng.random_range(0..12);
            }
        }
        let is_leader_unreachable =
            !self.is_up(self.leader) || self.cut_off[self.leader] > self.now;
        if (is_leader_unreachable && self.occurs(120.0))
            || (self.faults_enabled && self.occurs(2.0))
        {
            let others: Vec<usize> = (0..self.instances.len())
                .filter(|at| self.is_up(*at) && self.cut_off[*at] <= self.now)
                .collect();
            if !others.is_empty() {
                self.leader = others[self.rng.random_range(0..others.len())];
                self.term += 1;
                self.observations.leader_changes += 1;
            }
        }
    }

    pub fn stall(&mut self, at: usize, duration: f64) {
        self.observations.stalls += 1;
        let now = self.now;
        let opens_after_stall =
            self.rng.random_bool(0.5) && self.instances[at].free_capacity(now) > 0;
        let instance = &mut self.instances[at];
        instance.stalled_until = instance.stalled_until.max(now + duration.min(STALL));
        instance.opens_after_stall |= opens_after_stall;
        if duration >= STALL {
            instance.down_until = now + duration + 500.0;
            self.observations.kernel_kills += 1;
        }
    }

    fn crash(&mut self, at: usize) {
        let restarts_at = self.now + self.rng.random_range(100.0..3_000.0);
        self.instances[at].down_until = restarts_at;
        self.restart(at);
    }

    /// Replaces the process by a new one, which has lost its state and reads the log from the last snapshot.
    pub(super) fn restart(&mut self, at: usize) {
        self.incarnations += 1;
        let instance = &mut self.instances[at];
        instance.open.clear();
        instance.holder =
            LeaseHolder::new(instance.name.clone(), MemberIncarnation(self.incarnations));
        instance.table = LeaseTable::restore(&instance.snapshot.1).expect("was a table");
        (instance.applied, instance.issuer) = (instance.snapshot.0, None);
        (instance.stalled_until, instance.opens_after_stall) = (0.0, false);
        instance.standing = instance
            .table
            .standing(&facts(), &instance.name)
            .map_or(0, |(_, standing)| standing);
    }

    pub(super) fn is_up(&self, at: usize) -> bool {
        self.instances[at].down_until <= self.now && self.instances[at].stalled_until <= self.now
    }
}
