//! Agreement on the first view. The founders are the seeds at the first start of the system; each of
//! them has the addresses of all founders on its disk. Only machines whose disk names them as
//! founders vote on the first view and propose it.

use plankhill_protocol::ids::Revision;

use crate::effect::Millis;
use crate::state_machine::StateMachine;
use crate::timing::{BOOTSTRAP_TIMEOUT, PROMISE_TIMEOUT};
use crate::view::{Identity, Member, View, ViewNumber};

use super::disk_speed::SYNCS_PER_ANSWER;
use super::proposer::Promises;
use super::ChainMember;

impl<M: StateMachine> ChainMember<M> {
    /// Rank of this member among the founders that send heartbeats, if the first view may be
    /// proposed: when all founders send heartbeats, or a majority of them after
    /// [`BOOTSTRAP_TIMEOUT`]. `None` otherwise.
    pub(super) fn founder_rank(&self) -> Option<usize> {
        let own_address = self.local.address();
        let founders = self.local.founders()?;
        if !founders.contains(&own_address) {
            return None;
        }
        let mut alive = Vec::with_capacity(founders.len());
        for address in founders {
            let is_alive = |peer: &Member| peer.address == *address;
            if *address == own_address || self.known_founders().any(is_alive) {
                alive.push(*address);
            }
        }
        let waits_for_all = self.local.uptime(self.now) < BOOTSTRAP_TIMEOUT;
        if alive.len() < self.quorum() || (alive.len() < founders.len() && waits_for_all) {
            return None;
        }
        alive.iter().position(|address| *address == own_address)
    }

    fn known_founders(&self) -> impl Iterator<Item = &Member> {
        let founders = self
            .failure_detector
            .peers()
            .filter(|peer| peer.heartbeat().founder);
        founders.map(|peer| peer.member())
    }

    /// All known founders; this member is the last one if it is a founder.
    pub(super) fn founder_electors(&self) -> Vec<Member> {
        let mut electors = Vec::new();
        for peer in self.failure_detector.peers() {
            if self.is_founder(peer.identity()) {
                electors.push(peer.member().clone());
            }
        }
        if self.is_founder(self.local.identity()) {
            electors.push(self.local.member().clone());
        }
        electors
    }

    /// Returns whether a machine votes on the first view: its address is among this member's
    /// founders, and its own disk names it as a founder.
    pub(super) fn is_founder(&self, identity: &Identity) -> bool {
        let Some(founders) = self.local.founders() else {
            return false;
        };
        if self.local.is(identity) {
            return founders.contains(&self.local.address());
        }
        match self.failure_detector.peer(identity) {
            Some(peer) => peer.heartbeat().founder && founders.contains(&peer.member().address),
            None => false,
        }
    }

    /// Plans the first view: all founders that have promised, in the order of the settings. `None`
    /// while it is better to wait for further promises.
    pub(super) fn plan_first_view(&self, promises: &Promises, waited: Millis) -> Option<View> {
        let electors = self.electors();
        let has_promised = |member: &Member| promises.contains_key(&member.identity.node);
        let promise_timeout = self.with_syncs(PROMISE_TIMEOUT, SYNCS_PER_ANSWER);
        if waited < promise_timeout && !electors.iter().all(has_promised) {
            return None;
        }
        let mut voters = Vec::new();
        for address in self.local.founders()? {
            let is_promised_founder =
                |member: &&Member| has_promised(member) && member.address == *address;
            voters.extend(electors.iter().find(is_promised_founder).cloned());
        }
        let chain = voters
            .iter()
            .map(|member| member.identity.node.clone())
            .collect();
        voters.sort_by(|one, other| one.identity.cmp(&other.identity));
        Some(View {
            number: ViewNumber(1),
            voters,
            chain,
            base: Revision(0),
        })
    }
}
