//! Determines whether the state of this member is current, without a message for each call.
//!
//! Heartbeats carry echoes of received heartbeats. From the echoes, the tail determines when a
//! majority was certainly in its view. From the tail's echo, a member determines that the tail sent
//! its report after a certain heartbeat of the member. All times are measured on one machine's
//! clock, and a freeze makes them older, never younger (`docs/system/chain.md`, "Why reads are
//! newest").

use crate::age::age_of;
use crate::effect::Millis;
use crate::message::Heartbeat;
use crate::state_machine::StateMachine;
use crate::timing::CONFIRMATION_TTL;
use crate::view::Identity;

use super::ChainMember;

/// The newest confirmation reported by the tail.
#[derive(Clone, Debug, Default)]
pub(super) struct Freshness {
    /// Time at which a majority was in the view of the tail and no operation was committed that
    /// this member lacks.
    confirmed_at: Option<Millis>,
}

impl Freshness {
    /// Discards the confirmation, which concerns the former view.
    pub(super) fn reset(&mut self) {
        self.confirmed_at = None;
    }

    /// Returns a copy with the time replaced by its age.
    pub(super) fn with_ages(&self, now: Millis) -> Self {
        Self {
            confirmed_at: age_of(self.confirmed_at, now),
        }
    }

    fn confirm(&mut self, confirmed_at: Option<Millis>) {
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Returns whether a majority confirmed this view less than [`CONFIRMATION_TTL`] ms ago, and
    /// this member has all operations committed by then.
    pub fn is_current(&self, now: Millis) -> bool {
        let confirmed_at = match self.is_tail() {
            true => self.majority_confirmed_at(),
            false => self.freshness.confirmed_at,
        };
        match confirmed_at {
            Some(confirmed_at) => now.saturating_sub(confirmed_at) < CONFIRMATION_TTL,
            None => false,
        }
    }

    /// Records the report of the tail on how long ago a majority was certainly in its view. The
    /// tail echoes a heartbeat that this member sent before the tail made its report, which bounds
    /// the time of the confirmation on this member's clock.
    pub(super) fn record_tail_confirmation(&mut self, heartbeat: &Heartbeat) {
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
        let echoed_sent_at = self
            .failure_detector
            .echoed_sent_at(heartbeat, self.local.identity());
        let confirmed_at = echoed_sent_at.and_then(|sent_at| sent_at.checked_sub(age));
        self.freshness.confirm(confirmed_at);
    }

    /// The latest time at which a majority of the voters was certainly in this view and not sealed.
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
