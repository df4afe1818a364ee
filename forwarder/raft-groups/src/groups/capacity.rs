//! Limits on the data stored for event logs of other instances. An owner stops accepting events well below the limits,
//! since pending events still need their later records and outcomes, and only these reduce the log.

use std::sync::atomic::Ordering;

use super::hosted_group::HostedGroup;
use super::thread::GroupsThread;
use crate::{GroupId, Incarnation, Purpose};

/// The fraction of the limits at which owners stop accepting events.
const ACCEPT_SHARE: f64 = 0.6;
/// The fraction of the limits at which logs are compacted early.
const COMPACT_SHARE: f64 = 0.3;

/// The bytes stored for other instances.
#[derive(Default)]
struct ReplicaUsage {
    memory: u64,
    disk: u64,
}

impl GroupsThread {
    fn is_owned_elsewhere(&self, group: GroupId, hosted: &HostedGroup) -> bool {
        hosted.replica.purpose() == Purpose::EventLog
            && !hosted.replica.is_leader()
            && group.founder != self.incarnation()
    }

    fn replica_usage(&self) -> ReplicaUsage {
        let mut usage = ReplicaUsage::default();
        for (group, hosted) in &self.groups {
            if self.is_owned_elsewhere(*group, hosted) {
                usage.memory += hosted.replica.size() as u64;
                usage.disk += hosted.file_length;
            }
        }
        usage
    }

    /// Returns the bytes left below this fraction of the limits.
    fn free_bytes(&self, share: f64) -> u64 {
        let Some(replication) = &self.instance.fleet.replication else {
            return u64::MAX;
        };
        let usage = self.replica_usage();
        let free = |limit: u64, kept: u64| ((limit as f64 * share) as u64).saturating_sub(kept);
        free(replication.memory, usage.memory).min(free(replication.disk, usage.disk))
    }

    /// Returns the bytes that owners may still add, as sent in heartbeats.
    pub(super) fn free_bytes_for_owners(&self) -> u64 {
        self.free_bytes(ACCEPT_SHARE)
    }

    /// Whether the limits are reached, so that nothing more is stored for other instances. Stored data remains.
    pub(super) fn is_full(&self) -> bool {
        self.free_bytes(1.0) == 0
    }

    /// Compacts logs, which also contain completed events, before anything is refused for lack of space.
    pub(super) fn compact_if_short(&mut self) {
        if self.free_bytes(COMPACT_SHARE) > 0 {
            return;
        }
        let groups = self
            .groups
            .iter()
            .filter(|(group, hosted)| self.is_owned_elsewhere(**group, hosted));
        let groups: Vec<(GroupId, u64)> = groups
            .map(|(group, hosted)| (*group, hosted.file_length))
            .collect();
        for (group, file_length) in groups {
            self.with_replica(group, |replica, out| {
                replica.compact_early(file_length, out)
            });
        }
    }

    /// Publishes to the event loop the total number of command bytes, counted from the start, up to which a majority of
    /// each group led here has capacity.
    pub(super) fn publish_command_bytes_limit(&mut self, now: f64) {
        let led = self.groups.values().filter(|hosted| {
            hosted.replica.is_leader() && hosted.replica.purpose() == Purpose::EventLog
        });
        let limits = led.map(|hosted| self.majority_limit(&hosted.replica.voters(), now));
        let limit = limits.min().unwrap_or(u64::MAX);
        self.rings
            .status
            .command_bytes_limit
            .store(limit, Ordering::Release);
    }

    /// Returns the total number of command bytes up to which a majority of these voters has capacity.
    fn majority_limit(&self, voters: &[Incarnation], now: f64) -> u64 {
        let others = voters.iter().filter(|voter| **voter != self.incarnation());
        let mut limits: Vec<u64> = others.map(|voter| self.peer_limit(*voter, now)).collect();
        limits.sort_by(|a, b| b.cmp(a));
        // The number of other voters that form a majority together with this instance.
        let others_needed = voters.len() / 2;
        if others_needed == 0 {
            return u64::MAX;
        }
        limits.get(others_needed - 1).copied().unwrap_or(u64::MAX)
    }

    fn peer_limit(&self, voter: Incarnation, now: f64) -> u64 {
        match self.peer_of(voter) {
            Some(peer) if self.is_reachable(peer, now) => {
                self.peers[peer].capacity.command_bytes_limit()
            }
            _ => 0,
        }
    }
}
