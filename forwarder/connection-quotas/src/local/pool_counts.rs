//! The connections of one pool that this forwarder has open, and its demand on the pool.

use crate::language::{Facts, MemberId};
use crate::leases::{Allowance, Demand};

/// The purpose that a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionUse {
    /// An event of the given member.
    Event(MemberId),
    /// A health check or trial. It uses the policy's reserve if there is one, otherwise any connections.
    Trial,
}

/// Whether an acquired connection is new or was idle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConnectionOrigin {
    New,
    Idle,
}

/// The connections of one pool that this forwarder has open. Times are in milliseconds.
#[derive(Clone, Debug)]
pub(super) struct PoolCounts {
    /// The facts of the first target that was used in the pool.
    facts: Facts,
    idle: u32,
    /// This forwarder's standing share; recomputed when the table's policies change.
    standing: u32,
    /// Uses for events, by member.
    events: Vec<UseCount>,
    trials: UseCount,
}

#[derive(Clone, Debug, Default)]
struct UseCount {
    busy: u32,
    demand: Demand,
}

impl UseCount {
    fn admit(&mut self, now: f64) {
        self.busy += 1;
        self.demand.opened(now);
    }

    fn release(&mut self, now: f64) {
        self.busy = self.busy.saturating_sub(1);
        self.demand.closed(now);
    }
}

/// The demand on one pool, in connections.
pub(super) struct Wanted {
    pub(super) members: Vec<u32>,
    pub(super) trials: u32,
}

impl PoolCounts {
    pub(super) fn new(facts: Facts, standing: u32) -> PoolCounts {
        PoolCounts {
            facts,
            idle: 0,
            standing,
            events: Vec::new(),
            trials: UseCount::default(),
        }
    }

    pub(super) fn facts(&self) -> &Facts {
        &self.facts
    }

    pub(super) fn idle(&self) -> u32 {
        self.idle
    }

    pub(super) fn standing(&self) -> u32 {
        self.standing
    }

    pub(super) fn set_standing(&mut self, standing: u32) {
        self.standing = standing;
    }

    pub(super) fn busy(&self) -> u32 {
        self.events.iter().map(|count| count.busy).sum::<u32>() + self.trials.busy
    }

    pub(super) fn total(&self) -> u32 {
        self.idle + self.busy()
    }

    /// Counts a connection as busy, if the allowance permits it. Otherwise records a rejection.
    pub(super) fn acquire(
        &mut self,
        now: f64,
        allowance: &Allowance,
        connection_use: ConnectionUse,
        origin: ConnectionOrigin,
        members: usize,
    ) -> bool {
        if self.events.len() < members {
            self.events.resize_with(members, UseCount::default);
        }
        let is_admitted = self.is_allowed(allowance, connection_use, origin);
        if is_admitted && origin == ConnectionOrigin::Idle {
            self.idle -= 1;
        }
        // A use for a member that the policy does not have is not counted.
        if let Some(count) = self.count_of(connection_use) {
            if is_admitted {
                count.admit(now);
            } else {
                count.demand.rejected(now);
            }
        }
        is_admitted
    }

    fn is_allowed(
        &self,
        allowance: &Allowance,
        connection_use: ConnectionUse,
        origin: ConnectionOrigin,
    ) -> bool {
        let added = match origin {
            ConnectionOrigin::New => 1,
            ConnectionOrigin::Idle => 0,
        };
        if self.total() + added > allowance.total {
            return false;
        }
        let Some(members) = &allowance.members else {
            return true;
        };
        match connection_use {
            ConnectionUse::Trial if allowance.trials == 0 => {
                self.busy() < members.iter().sum::<u32>()
            }
            ConnectionUse::Trial => self.trials.busy < allowance.trials,
            ConnectionUse::Event(MemberId(member)) => {
                let member = usize::from(member);
                let busy = self.events.get(member).map_or(0, |count| count.busy);
                busy < members.get(member).copied().unwrap_or(0)
            }
        }
    }

    fn count_of(&mut self, connection_use: ConnectionUse) -> Option<&mut UseCount> {
        match connection_use {
            ConnectionUse::Trial => Some(&mut self.trials),
            ConnectionUse::Event(MemberId(member)) => self.events.get_mut(usize::from(member)),
        }
    }

    /// Records that a connection is no longer in use and stays open.
    pub(super) fn release_idle(&mut self, now: f64, connection_use: ConnectionUse) {
        self.release(now, connection_use);
        self.idle += 1;
    }

    /// Records that a connection was closed: a busy one with its use, or an idle one with `None`.
    pub(super) fn closed(&mut self, now: f64, connection_use: Option<ConnectionUse>) {
        match connection_use {
            Some(connection_use) => self.release(now, connection_use),
            None => self.idle = self.idle.saturating_sub(1),
        }
    }

    fn release(&mut self, now: f64, connection_use: ConnectionUse) {
        if let Some(count) = self.count_of(connection_use) {
            count.release(now);
        }
    }

    pub(super) fn wanted(&mut self, now: f64) -> Wanted {
        Wanted {
            members: self
                .events
                .iter_mut()
                .map(|count| count.demand.wanted(now))
                .collect(),
            trials: self.trials.demand.wanted(now),
        }
    }

    /// Whether no connection is open and none is wanted.
    pub(super) fn is_unused(&mut self, now: f64) -> bool {
        let wanted = self.wanted(now);
        self.total() == 0 && wanted.trials == 0 && wanted.members.iter().all(|wanted| *wanted == 0)
    }
}
