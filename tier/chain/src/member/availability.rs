//! Whether this member is of use to the chain, and whether its state is current.
//!
//! The first is said in heartbeats, so that the others go on without a member that leaves, whose
//! disk does not answer or that is cut off. The second answers callers without a message
//! (`docs/system/chain.md`, "Why reads are newest").

use crate::effect::Millis;
use crate::message::Heartbeat;
use crate::state_machine::StateMachine;
use crate::timing::{CONFIRMATION_TTL, DISK_STALL_TIMEOUT};
use crate::view::Identity;

use super::ChainMember;

/// What this member was told of itself, and the newest confirmation of its state.
#[derive(Debug, Default)]
pub(super) struct Availability {
    is_leaving: bool,
    /// A write has failed, and none has succeeded since.
    is_disk_refusing: bool,
    /// At this time the tail was sure of its view, and nothing was committed that is missing here.
    confirmed_at: Option<Millis>,
}

impl Availability {
    pub(super) fn leave(&mut self) {
        self.is_leaving = true;
    }

    pub(super) fn disk_refused(&mut self) {
        self.is_disk_refusing = true;
    }

    pub(super) fn disk_writes_again(&mut self) {
        self.is_disk_refusing = false;
    }

    /// The view changed: what was confirmed concerns the former one.
    pub(super) fn forget_confirmation(&mut self) {
        self.confirmed_at = None;
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Whether a confirmation of this view by a majority, with everything committed by then, is at
    /// most [`CONFIRMATION_TTL`] ms old.
    pub fn is_current(&self, now: Millis) -> bool {
        let confirmed_at = match self.is_tail() {
            true => self.majority_confirmed_at(),
            false => self.availability.confirmed_at,
        };
        match confirmed_at {
            Some(confirmed_at) => now.saturating_sub(confirmed_at) < CONFIRMATION_TTL,
            None => false,
        }
    }

    /// Whether heartbeats have lately gone both ways between this member and a majority of the
    /// voters, this member among them.
    pub fn is_connected(&self, now: Millis) -> bool {
        self.view.number.is_founded()
            && self.is_majority_with_self(|voter| self.failure_detector.is_reachable(voter, now))
    }

    /// Whether a majority of the voters is heard, this member among them. After a start or a freeze
    /// everybody counts as heard for a while.
    pub(super) fn hears_majority(&self) -> bool {
        !self.view.number.is_founded()
            || self.is_majority_with_self(|voter| {
                !self.failure_detector.has_timed_out(voter, self.now)
            })
    }

    fn is_majority_with_self(&self, counts: impl Fn(&Identity) -> bool) -> bool {
        self.view
            .is_majority(|voter| self.local.is(voter) || counts(voter))
    }

    /// Whether the others should go on without this member: the member was asked to leave, its disk
    /// takes nothing, or it hears too few to be of use. The others may still hear a member whose
    /// network is cut in one direction only.
    pub(super) fn is_leaving(&self) -> bool {
        self.availability.is_leaving || !self.is_disk_available() || !self.hears_majority()
    }

    /// Whether the disk takes writes and has answered lately. Without the disk nothing more is
    /// handed to it that somebody would send again anyway, so that the queue of pending batches
    /// stays short.
    pub(super) fn is_disk_available(&self) -> bool {
        if self.availability.is_disk_refusing {
            return false;
        }
        match self.outbox.oldest_pending_since() {
            Some(since) => self.failure_detector.awake_for(since, self.now) < DISK_STALL_TIMEOUT,
            None => true,
        }
    }

    /// The tail says how long ago a majority was surely in its view. The own heartbeat that the
    /// tail echoes was sent before the tail said so, which bounds the time on this member's clock.
    pub(super) fn take_confirmation(&mut self, heartbeat: &Heartbeat) {
        let Some(age) = heartbeat.confirmed_age_ms else {
            return;
        };
        let is_from_tail = match self.view.tail() {
            Some(tail) => tail.identity == heartbeat.member.identity,
            None => false,
        };
        let has_all_committed = self.log.last() >= heartbeat.committed;
        if !is_from_tail || heartbeat.view != self.view.number || !has_all_committed {
            return;
        }
        let said_after = self
            .failure_detector
            .echoed_sent_at(heartbeat, self.local.identity());
        let confirmed_at = said_after.and_then(|sent_at| sent_at.checked_sub(age));
        self.availability.confirmed_at = self.availability.confirmed_at.max(confirmed_at);
    }

    /// The latest time at which a majority of the voters was surely in this view and not sealed.
    pub(super) fn majority_confirmed_at(&self) -> Option<Millis> {
        let mut times = Vec::with_capacity(self.view.voters.len());
        for voter in &self.view.voters {
            times.extend(self.voter_confirmed_at(&voter.identity));
        }
        times.sort_unstable_by(|one, other| other.cmp(one));
        times.get(self.view.majority() - 1).copied()
    }

    fn voter_confirmed_at(&self, voter: &Identity) -> Option<Millis> {
        if self.local.is(voter) {
            return (!self.acceptor.is_sealed()).then_some(self.now);
        }
        self.failure_detector.peer(voter)?.confirmed_at()
    }
}
