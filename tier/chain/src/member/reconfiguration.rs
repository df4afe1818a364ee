//! Decides whether another view is needed, and which member proposes it and when.
//! `docs/system/chain.md` has the table of causes ("Who proposes, and when").

use plankhill_protocol::ids::Revision;

use crate::failure_detector::Peer;
use crate::state_machine::StateMachine;
use crate::timing::{MIN_STABLE_INTERVAL, PEER_TIMEOUT, VOTER_REMOVAL_TIMEOUT};
use crate::view::{Identity, Member};

use super::disk_speed::SYNCS_PER_ANSWER;
use super::ChainMember;

/// Maximum number of operations that a member may lack when it is considered for the chain.
pub(super) const MAX_JOINER_LAG: u64 = 64;

impl<M: StateMachine> ChainMember<M> {
    /// Returns how many members rank before this one in proposing another view; `None` if no other
    /// view is needed or this member must not propose.
    pub(super) fn proposer_rank(&self) -> Option<usize> {
        if !self.view.number.is_founded() {
            return self.founder_rank();
        }
        if !self.is_in_chain() || !self.is_view_persisted() {
            return None;
        }
        if !self.receives_from_majority() {
            // A majority would not promise, and the request would only seal the voters that it
            // reaches.
            return None;
        }
        if self.acceptor.is_sealed() && self.is_agreement_in_progress() {
            return None;
        }
        let rank = self.rank();
        let is_view_needed = self.acceptor.is_sealed()
            || self.must_shrink()
            || (rank == 0 && self.can_grow_or_remove_voter());
        is_view_needed.then_some(rank)
    }

    fn is_agreement_in_progress(&self) -> bool {
        // Voters that have answered receive no further requests until the slowest vote has arrived.
        let timeout = self.with_syncs(PEER_TIMEOUT, SYNCS_PER_ANSWER);
        match self.proposer.last_ballot_at() {
            Some(at) => self.now.saturating_sub(at) < timeout,
            None => false,
        }
    }

    fn can_grow_or_remove_voter(&self) -> bool {
        self.has_joiners() || self.voter_to_remove(&self.view.voters).is_some()
    }

    fn has_joiners(&self) -> bool {
        let chain_len = self.view.chain.len();
        !self
            .joiners(chain_len, self.log.last(), MAX_JOINER_LAG)
            .is_empty()
    }

    /// Number of preferred chain members before this one. Members that are not preferred rank after
    /// all preferred ones.
    fn rank(&self) -> usize {
        let is_preferred = self.is_preferred(self.local.identity());
        let mut rank = 0;
        for member in self.view.chain_members() {
            if is_preferred && self.local.is(&member.identity) {
                break;
            }
            if self.is_preferred(&member.identity) {
                rank += 1;
            }
        }
        rank
    }

    /// Returns whether a member of the chain should remain in it: it is present, is not leaving and
    /// has no slow disk.
    pub(super) fn is_preferred(&self, identity: &Identity) -> bool {
        self.is_staying(identity) && !self.has_slow_disk(identity)
    }

    /// Returns whether a member of the chain is present and is not leaving.
    pub(super) fn is_staying(&self, identity: &Identity) -> bool {
        let is_leaving = match self.local.is(identity) {
            true => self.is_leaving(),
            false => match self.failure_detector.peer(identity) {
                Some(peer) => peer.heartbeat().leaving,
                None => false,
            },
        };
        !is_leaving && self.is_present(identity)
    }

    /// Returns whether this identity is the member itself, or a peer that has not timed out.
    pub(super) fn is_present(&self, identity: &Identity) -> bool {
        self.local.is(identity) || !self.failure_detector.has_timed_out(identity, self.now)
    }

    /// Returns whether a member of the chain has failed, is leaving or has a slow disk, and enough
    /// members remain without it.
    fn must_shrink(&self) -> bool {
        self.can_shrink_to(|identity| self.is_preferred(identity))
            || self.can_shrink_to(|identity| self.is_staying(identity))
    }

    /// Returns whether the matching members are only a part of the chain, and together with the
    /// joiners are enough for a chain.
    fn can_shrink_to(&self, is_kept: impl Fn(&Identity) -> bool) -> bool {
        let members = self.view.chain_members();
        let kept = members.filter(|member| is_kept(&member.identity)).count();
        let joining = self.joiners(kept, self.log.last(), MAX_JOINER_LAG).len();
        let required = self.local.required_chain_len(self.view.voters.len());
        kept < self.view.chain.len() && kept > 0 && kept + joining >= required
    }

    /// Machines outside the chain that lack at most `max_lag` of the operations up to `base` and
    /// exchange heartbeats in both directions with every present member of the chain. Machines with
    /// slow disks are included only if the other joiners and `survivors` members of the current
    /// chain are too few for a chain.
    pub(super) fn joiners(&self, survivors: usize, base: Revision, max_lag: u64) -> Vec<Member> {
        let is_nearly_caught_up =
            |peer: &&Peer| peer.heartbeat().last_revision.0 + max_lag >= base.0;
        let joiners = self.failure_detector.peers();
        let joiners = joiners
            .filter(|peer| self.may_join(peer))
            .filter(is_nearly_caught_up);
        let joiners = joiners.map(|peer| peer.member().clone());
        let (slow, fast): (Vec<_>, Vec<_>) =
            joiners.partition(|member| self.has_slow_disk(&member.identity));
        let required = self.local.required_chain_len(self.view.voters.len());
        match survivors + fast.len() < required {
            true => fast.into_iter().chain(slow).collect(),
            false => fast,
        }
    }

    fn may_join(&self, peer: &Peer) -> bool {
        !self.view.is_in_chain(peer.identity())
            && !peer.heartbeat().leaving
            && peer.heartbeat().view == self.view.number
            && peer.stable_for(self.now) >= MIN_STABLE_INTERVAL
            && self
                .failure_detector
                .is_reachable(peer.identity(), self.now)
            && self.is_connected_to_chain(peer)
    }

    fn is_connected_to_chain(&self, peer: &Peer) -> bool {
        let members = self.view.chain_members();
        let mut present = members.filter(|member| self.is_present(&member.identity));
        present.all(|member| self.echo_each_other(&member.identity, peer))
    }

    /// Returns whether the newest heartbeats of a chain member and of a peer echo each other.
    fn echo_each_other(&self, member: &Identity, peer: &Peer) -> bool {
        if !peer.heartbeat().echoes_identity(member) {
            return false;
        }
        if self.local.is(member) {
            // This member has received the peer's heartbeat.
            return true;
        }
        match self.failure_detector.peer(member) {
            Some(member_peer) => member_peer.heartbeat().echoes_identity(peer.identity()),
            None => false,
        }
    }

    /// A voter outside the chain that has sent no heartbeat for [`VOTER_REMOVAL_TIMEOUT`] ms,
    /// provided that at least 2f+1 other voters are present.
    pub(super) fn voter_to_remove(&self, voters: &[Member]) -> Option<Identity> {
        let present = voters
            .iter()
            .filter(|voter| self.is_present(&voter.identity))
            .count();
        if present <= 2 * self.local.tolerated_faults() {
            return None;
        }
        let removable = voters
            .iter()
            .find(|voter| self.is_removable(&voter.identity))?;
        Some(removable.identity.clone())
    }

    fn is_removable(&self, voter: &Identity) -> bool {
        !self.view.is_in_chain(voter)
            && !self.local.is(voter)
            && self.failure_detector.time_since_heartbeat(voter, self.now) >= VOTER_REMOVAL_TIMEOUT
    }
}
