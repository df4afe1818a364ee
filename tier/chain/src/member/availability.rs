//! Availability of this member to the chain. Heartbeats report it, so that the other members
//! continue without a member that is leaving, whose disk does not respond or that is partitioned.

use crate::effect::Millis;
use crate::state_machine::StateMachine;
use crate::timing::{DISK_STALL_TIMEOUT, MAX_COUNTED_SYNC_TIME};
use crate::view::Identity;

use super::ChainMember;

/// Reasons for this member to leave the chain.
#[derive(Clone, Debug, Default)]
pub(super) struct Availability {
    is_leaving: bool,
    /// A write has failed, and none has succeeded since.
    is_disk_rejecting: bool,
}

impl Availability {
    pub(super) fn leave(&mut self) {
        self.is_leaving = true;
    }

    pub(super) fn disk_rejected_write(&mut self) {
        self.is_disk_rejecting = true;
    }

    pub(super) fn disk_recovered(&mut self) {
        self.is_disk_rejecting = false;
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Returns whether heartbeats have recently been received in both directions between this
    /// member and enough voters to form a majority that includes this member.
    pub fn is_connected(&self, now: Millis) -> bool {
        self.view.number.is_founded()
            && self.is_majority_with_self(|voter| self.failure_detector.is_reachable(voter, now))
    }

    /// Returns whether heartbeats arrive from enough voters to form a majority that includes this
    /// member. After a start or a freeze all voters count as alive for
    /// [`crate::timing::PEER_TIMEOUT`] ms.
    pub(super) fn receives_from_majority(&self) -> bool {
        !self.view.number.is_founded()
            || self.is_majority_with_self(|voter| {
                !self.failure_detector.has_timed_out(voter, self.now)
            })
    }

    fn is_majority_with_self(&self, predicate: impl Fn(&Identity) -> bool) -> bool {
        self.view
            .is_majority(|voter| self.local.is(voter) || predicate(voter))
    }

    /// Returns whether the other members should continue without this one: the member was asked to
    /// leave, its disk is unavailable, or it receives too few heartbeats. The others may still
    /// receive heartbeats of a member that is partitioned in one direction only.
    pub(super) fn is_leaving(&self) -> bool {
        self.availability.is_leaving || !self.is_disk_available() || !self.receives_from_majority()
    }

    /// Returns whether the disk accepts writes and its sync in progress takes no longer than a slow
    /// sync may. While the disk is unavailable, no writes are queued for requests that the sender
    /// would repeat, so that the queue of pending batches stays short.
    pub(super) fn is_disk_available(&self) -> bool {
        if self.availability.is_disk_rejecting {
            return false;
        }
        let typical_sync_time = self.outbox.sync_time().unwrap_or(0);
        let stall_timeout = DISK_STALL_TIMEOUT + 2 * typical_sync_time.min(MAX_COUNTED_SYNC_TIME);
        match self.outbox.sync_started_at() {
            Some(since) => self.failure_detector.running_for(since, self.now) < stall_timeout,
            None => true,
        }
    }
}
