//! Disk speed: extends timeouts by the sync times of the disks, and excludes slow disks from the
//! chain.
//!
//! Each member measures its own syncs and reports their median in its heartbeats. Timeouts grow and
//! shrink with the reported medians, so that an agreement has time for the syncs that it needs. A
//! member whose disk is much slower than the others' leaves the chain, because the slowest disk
//! determines the speed of the chain. The member remains a voter; a majority does not wait for it.

use std::collections::BTreeMap;

use crate::age::age;
use crate::effect::Millis;
use crate::outbox::AfterSync;
use crate::state_machine::StateMachine;
use crate::storage::Write;
use crate::sync_times::lower_median;
use crate::timing::{
    DISK_PROBE_INTERVAL, MAX_COUNTED_SYNC_TIME, MAX_FAST_SYNC_TIME, MIN_SLOW_SYNC_TIME,
    SLOW_DISK_GRACE,
};
use crate::view::Identity;

use super::ChainMember;

/// Number of syncs that may precede a durable answer: the rest of the sync in progress, and the
/// sync of the batch that contains the answer.
pub(super) const SYNCS_PER_ANSWER: Millis = 2;
/// A member leaves the chain when its sync time reaches this multiple of the median of the voters.
/// Well above the variation between disks of one kind and the delay that a backlog adds on one of
/// them.
const SLOW_DISK_FACTOR: Millis = 8;
/// A member outside the chain may rejoin when its sync time is below this multiple of the median.
/// Half of [`SLOW_DISK_FACTOR`], so that a member with a disk near the limit does not leave and
/// rejoin repeatedly.
const FAST_DISK_FACTOR: Millis = 4;

/// Members of the chain whose disks are much slower than the others', with the time at which this
/// was first observed.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowDisks {
    since: BTreeMap<Identity, Millis>,
}

impl SlowDisks {
    /// Returns a copy with times replaced by ages.
    pub(super) fn with_ages(&self, now: Millis) -> Self {
        let mut copy = self.clone();
        for since in copy.since.values_mut() {
            *since = age(*since, now);
        }
        copy
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Updates since when disks in the chain have been slow; called on each tick. When all disks
    /// become slow, the first members of the chain measure it before the last ones, so a disk must
    /// remain slow for a while before it counts as slow.
    pub(super) fn observe_slow_disks(&mut self) {
        let mut since = BTreeMap::new();
        for member in self.view.chain_members() {
            let identity = &member.identity;
            if self.is_present(identity) && self.is_much_slower(identity) {
                let previous = self.slow_disks.since.get(identity);
                since.insert(identity.clone(), previous.copied().unwrap_or(self.now));
            }
        }
        self.slow_disks.since = since;
    }

    /// Extends `base` by the time of `syncs` syncs at the slowest voter that is present.
    pub(super) fn with_syncs(&self, base: Millis, syncs: Millis) -> Millis {
        let slowest = self.present_sync_times(|_| true).into_iter().max();
        base + syncs * slowest.unwrap_or(0)
    }

    /// Extends `base` by the time of `syncs` syncs at the slowest voter that is present and whose
    /// disk does not count as slow.
    pub(super) fn with_regular_syncs(&self, base: Millis, syncs: Millis) -> Millis {
        let is_regular = |voter: &Identity| !self.has_slow_disk(voter);
        let slowest = self.present_sync_times(is_regular).into_iter().max();
        base + syncs * slowest.unwrap_or(0)
    }

    /// Returns whether the disk of this machine counts as slow, so that the chain should continue
    /// without the machine if enough members remain.
    pub(super) fn has_slow_disk(&self, identity: &Identity) -> bool {
        if !self.view.is_in_chain(identity) {
            return self.is_much_slower(identity);
        }
        let Some(since) = self.slow_disks.since.get(identity) else {
            return false;
        };
        let sync_time = self.sync_time_of(identity).unwrap_or(0);
        self.now.saturating_sub(*since) >= SLOW_DISK_GRACE + SYNCS_PER_ANSWER * sync_time
    }

    /// Returns whether the current sync time of a disk is much longer than the median of the
    /// voters.
    fn is_much_slower(&self, identity: &Identity) -> bool {
        let Some(sync_time) = self.sync_time_of(identity) else {
            return false;
        };
        let Some(median) = lower_median(self.present_sync_times(|_| true)) else {
            return false;
        };
        match self.view.is_in_chain(identity) {
            true => sync_time >= MIN_SLOW_SYNC_TIME.max(SLOW_DISK_FACTOR * median),
            false => sync_time >= MAX_FAST_SYNC_TIME.max(FAST_DISK_FACTOR * median),
        }
    }

    /// Sync times of the voters that are present and match the predicate.
    fn present_sync_times(&self, predicate: impl Fn(&Identity) -> bool) -> Vec<Millis> {
        let mut times = Vec::with_capacity(self.view.voters.len());
        for voter in &self.view.voters {
            if self.is_present(&voter.identity) && predicate(&voter.identity) {
                times.extend(self.sync_time_of(&voter.identity));
            }
        }
        times
    }

    /// Sync time that the machine's newest heartbeat reports, or that this member has measured
    /// itself, limited to [`MAX_COUNTED_SYNC_TIME`]; `None` if there is no measurement.
    fn sync_time_of(&self, identity: &Identity) -> Option<Millis> {
        let sync_time = match self.local.is(identity) {
            true => self.outbox.sync_time(),
            false => self.failure_detector.peer(identity)?.heartbeat().sync_ms,
        };
        Some(sync_time?.min(MAX_COUNTED_SYNC_TIME))
    }

    /// Probes an idle disk that was slow when last measured: rewrites unchanged data, so that the
    /// member detects when the disk is fast again.
    pub(super) fn probe_slow_disk(&mut self) {
        let is_slow = match self.outbox.sync_time() {
            Some(sync_time) => sync_time >= MAX_FAST_SYNC_TIME,
            None => false,
        };
        if is_slow && self.outbox.idle_for(self.now) >= DISK_PROBE_INTERVAL {
            let unchanged = Write::Committed(self.log.committed());
            self.persist(vec![unchanged], AfterSync::Nothing);
        }
    }
}
