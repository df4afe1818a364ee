//! Limits of what is kept for other instances. An owner stops accepting events well below them, since what is pending
//! still needs its later records and outcomes, and only these make it smaller.

use std::sync::atomic::Ordering;

use super::hosted_group::HostedGroup;
use super::thread::GroupsThread;
use crate::{GroupId, Incarnation, Purpose};

/// The share of the limits at which owners stop accepting events.
const ACCEPT_SHARE: f64 = 0.6;
/// The share of the limits at which logs are compacted early.
const COMPACT_SHARE: f64 = 0.3;

/// Bytes that are kept for other instances.
#[derive(Default)]
struct KeptForOthers {
    memory: u64,
    disk: u64,
}

impl GroupsThread {
    fn is_for_others(&self, group: GroupId, hosted: &HostedGroup) -> bool {
        hosted.replica.purpose() == Purpose::EventLog
            && !hosted.replica.is_leader()
            && group.founder != self.incarnation()
    }

    fn kept_for_others(&self) -> KeptForOthers {
        let mut kept = KeptForOthers::default();
        for (group, hosted) in &self.groups {
            if self.is_for_others(*group, hosted) {
                kept.memory += hosted.replica.size() as u64;
                kept.disk += hosted.file_length;
            }
        }
        kept
    }

    /// Bytes left of that share of the limits.
    fn free_bytes(&self, share: f64) -> u64 {
        let Some(replication) = &self.instance.fleet.replication else {
            return u64::MAX;
        };
        let kept = self.kept_for_others();
        let free = |limit: u64, kept: u64| ((limit as f64 * share) as u64).saturating_sub(kept);
        free(replication.memory, kept.memory).min(free(replication.disk, kept.disk))
    }

    /// Bytes that owners may add, as heartbeats say.
    pub(super) fn free_bytes_for_owners(&self) -> u64 {
        self.free_bytes(ACCEPT_SHARE)
    }

    /// Whether nothing more is kept for other instances. What is kept stays.
    pub(super) fn is_full(&self) -> bool {
        self.free_bytes(1.0) == 0
    }

    /// Compacts logs, which also have what is completed, before anything is refused for the bytes they take.
    pub(super) fn compact_if_short(&mut self) {
        if self.free_bytes(COMPACT_SHARE) > 0 {
            return;
        }
        let groups = self
            .groups
            .iter()
            .filter(|(group, hosted)| self.is_for_others(**group, hosted));
        let groups: Vec<(GroupId, u64)> = groups
            .map(|(group, hosted)| (*group, hosted.file_length))
            .collect();
        for (group, file_length) in groups {
            self.with_replica(group, |replica, out| {
                replica.compact_early(file_length, out)
            });
        }
    }

    /// Tells the event loop up to how many bytes of commands, counted from the start, a majority of each group led
    /// here has capacity.
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

    /// Up to how many bytes of commands a majority of these voters has capacity.
    fn majority_limit(&self, voters: &[Incarnation], now: f64) -> u64 {
        let others = voters.iter().filter(|voter| **voter != self.incarnation());
        let mut limits: Vec<u64> = others.map(|voter| self.peer_limit(*voter, now)).collect();
        limits.sort_by(|a, b| b.cmp(a));
        // With this instance itself, so many others are a majority.
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
