//! Selection of the view to propose, given the promises of the voters of the current view.

use crate::effect::Millis;
#[cfg(feature = "planted-bugs")]
use crate::planted_bug::PlantedBug;
use crate::state_machine::StateMachine;
use crate::timing::{CATCH_UP_TIMEOUT, PROMISE_TIMEOUT};
use crate::view::{Member, View};
#[cfg(feature = "planted-bugs")]
use plankhill_protocol::ids::Revision;

use super::disk_speed::SYNCS_PER_ANSWER;
use super::proposer::Promises;
use super::reconfiguration::MAX_JOINER_LAG;
use super::ChainMember;

/// A member that catches up writes what it lacks, after a sync under way, while its acknowledged
/// operations go on.
const SYNCS_PER_CATCH_UP: Millis = 3;

impl<M: StateMachine> ChainMember<M> {
    /// Plans the view to propose; `None` while it is better to wait for further promises or a
    /// joiner.
    pub(super) fn plan_view(&self, promises: &Promises, waited: Millis) -> Option<View> {
        if !self.view.number.is_founded() {
            return self.plan_first_view(promises, waited);
        }
        let has_promised = |member: &Member| match promises.get(&member.identity.node) {
            Some(promise) => promise.identity == member.identity,
            None => false,
        };
        let mut sealed = Vec::new();
        let mut staying = Vec::new();
        let mut preferred = Vec::new();
        let mut is_promise_missing = false;
        for member in self.view.chain_members() {
            let is_preferred = self.is_preferred(&member.identity);
            if !has_promised(member) {
                is_promise_missing |= is_preferred;
                continue;
            }
            sealed.push(member);
            if self.is_staying(&member.identity) {
                staying.push(member);
            }
            if is_preferred {
                preferred.push(member);
            }
        }
        let promise_timeout = self.with_regular_syncs(PROMISE_TIMEOUT, SYNCS_PER_ANSWER);
        if is_promise_missing && waited < promise_timeout {
            return None;
        }
        // Members with slow disks, and then members that are leaving, are kept if the chain would
        // be too short without them.
        self.compose_view(&preferred, promises, waited)
            .or_else(|| self.compose_view(&staying, promises, waited))
            .or_else(|| self.compose_view(&sealed, promises, waited))
    }

    /// Composes a view of the given members of the current chain, which have promised and so are
    /// sealed, and all joiners. `None` if the chain would be too short, or while it is better to
    /// wait for a joiner that is still catching up.
    fn compose_view(
        &self,
        survivors: &[&Member],
        promises: &Promises,
        waited: Millis,
    ) -> Option<View> {
        // The base is the lowest revision of the survivors: each of them has every operation up to
        // it, and every committed operation is among these, because every survivor had synced the
        // operation before the survivor was sealed.
        let promises = survivors
            .iter()
            .filter_map(|member| promises.get(&member.identity.node));
        let revisions = promises.map(|promise| promise.last_revision);
        #[cfg(feature = "planted-bugs")]
        let highest = revisions.clone().max()?;
        let base = revisions.min()?;
        #[cfg(feature = "planted-bugs")]
        let base = match () {
            () if self.has_bug(PlantedBug::BaseTooHigh) => highest,
            () if self.has_bug(PlantedBug::BaseTooLow) => Revision(base.0.saturating_sub(1)),
            () => base,
        };
        let joiners = self.joiners(survivors.len(), base, 0);
        let nearly_caught_up = self.joiners(survivors.len(), base, MAX_JOINER_LAG);
        let catch_up_timeout = self.with_regular_syncs(CATCH_UP_TIMEOUT, SYNCS_PER_CATCH_UP);
        if nearly_caught_up.len() > joiners.len() && waited < catch_up_timeout {
            return None;
        }
        let voters = self.next_voters(&joiners);
        let members = survivors.iter().copied().chain(&joiners);
        let chain: Vec<_> = members.map(|member| member.identity.node.clone()).collect();
        let required = self.local.required_chain_len(voters.len());
        if chain.len() < required {
            return None;
        }
        Some(View {
            number: self.view.number.next(),
            voters,
            chain,
            base,
        })
    }

    /// Voters of the next view, including the joiners: a new incarnation of a disk replaces the old
    /// one, and the voters that `voter_to_remove` selects are removed.
    fn next_voters(&self, joiners: &[Member]) -> Vec<Member> {
        let is_replaced = |voter: &Member| {
            let mut joiners = joiners.iter();
            joiners.any(|joiner| joiner.identity.node == voter.identity.node)
        };
        let mut voters = self.view.voters.clone();
        voters.retain(|voter| !is_replaced(voter));
        voters.extend(joiners.iter().cloned());
        while let Some(removed) = self.voter_to_remove(&voters) {
            voters.retain(|voter| voter.identity != removed);
        }
        voters.sort_by(|one, other| one.identity.cmp(&other.identity));
        voters
    }
}
