//! Which view should come next, and whether this member is to propose it.

use std::collections::BTreeMap;

use plankhill_protocol::ids::{NodeId, Revision};

use crate::effect::Millis;
use crate::machine::StateMachine;
use crate::peers::Peer;
use crate::timing::{FOUNDING_PATIENCE, GONE, JOIN_GRACE, PROMISE_GRACE, SILENCE, STEADY};
use crate::view::{Identity, Member, View, ViewNumber};

use super::attempt::Promised;
use super::ChainMember;

/// A member may be proposed for the chain while it lacks no more operations than this.
const NEARLY_THERE: u64 = 64;

impl<M: StateMachine> ChainMember<M> {
    /// Whether another view is needed; tells how many members come before this one in proposing it.
    pub(super) fn wants_view(&self) -> Option<usize> {
        if self.view.number.0 == 0 {
            return self.wants_founding();
        }
        if !self.in_chain() || self.durable.0 != self.view.number {
            return None;
        }
        if !self.hears_majority() {
            // No promises would come, and the question would only seal those whom it reaches.
            return None;
        }
        let under_way = self
            .attempts
            .voted_at
            .is_some_and(|at| self.now.saturating_sub(at) < SILENCE);
        if self.is_sealed() && under_way {
            return None;
        }
        let rank = self.rank();
        let first = rank == 0;
        let joins = first && !self.joiners(self.log.last(), NEARLY_THERE).is_empty();
        let drops = first && self.voter_to_drop(&self.view.voters).is_some();
        let wanted = self.is_sealed() || self.must_shrink() || joins || drops;
        wanted.then_some(rank)
    }

    fn wants_founding(&self) -> Option<usize> {
        let founders = self
            .founders
            .as_ref()
            .filter(|founders| founders.contains(&self.me.address))?;
        let present = |address: &&std::net::SocketAddr| {
            let heard =
                |peer: &Peer| peer.heartbeat.founder && peer.heartbeat.member.address == **address;
            **address == self.me.address || self.peers.all().any(heard)
        };
        let heard: Vec<_> = founders.iter().filter(present).collect();
        let patient = self.now.saturating_sub(self.presence.started) < FOUNDING_PATIENCE;
        if heard.len() < self.quorum() || (heard.len() < founders.len() && patient) {
            return None;
        }
        heard
            .iter()
            .position(|address| **address == self.me.address)
    }

    /// Members of the chain that are to stay before this one; those that leave come last.
    fn rank(&self) -> usize {
        let mine = self.view.place(&self.me.identity).unwrap_or_default();
        let ahead = |(place, link): (usize, &Member)| match self.is_leaving() {
            true => self.stays(&link.identity),
            false => place < mine && self.stays(&link.identity),
        };
        self.view
            .links()
            .enumerate()
            .filter(|link| ahead(*link))
            .count()
    }

    /// Whether a link is heard and wants to go on.
    fn stays(&self, identity: &Identity) -> bool {
        let leaving = match *identity == self.me.identity {
            true => self.is_leaving(),
            false => self
                .peers
                .get(identity)
                .is_some_and(|peer| peer.heartbeat.leaving),
        };
        !leaving && self.is_present(identity)
    }

    fn is_present(&self, identity: &Identity) -> bool {
        *identity == self.me.identity || !self.peers.is_silent(identity, self.now)
    }

    /// Whether a link is gone or wants to go, and enough are left without it.
    fn must_shrink(&self) -> bool {
        let staying = self
            .view
            .links()
            .filter(|link| self.stays(&link.identity))
            .count();
        let joining = self.joiners(self.log.last(), NEARLY_THERE).len();
        let required = self.required_links(self.view.voters.len());
        staying < self.view.chain.len() && staying > 0 && staying + joining >= required
    }

    /// Machines outside the chain that hold all operations up to `base`, but for `lacking` of them, and that hear
    /// and are heard by every link present.
    fn joiners(&self, base: Revision, lacking: u64) -> Vec<Member> {
        let peers = self.peers.all().filter(|peer| self.may_join(peer));
        let near = peers.filter(|peer| peer.heartbeat.position.0 + lacking >= base.0);
        near.map(|peer| peer.heartbeat.member.clone()).collect()
    }

    fn may_join(&self, peer: &Peer) -> bool {
        let identity = &peer.heartbeat.member.identity;
        let steady = self.now.saturating_sub(peer.steady_since) >= STEADY;
        let mut links = self
            .view
            .links()
            .filter(|link| self.is_present(&link.identity));
        !self.view.in_chain(identity)
            && !peer.heartbeat.leaving
            && peer.heartbeat.view == self.view.number
            && steady
            && self.peers.is_reached(identity, self.now)
            && links.all(|link| self.hear_each_other(&link.identity, peer))
    }

    fn hear_each_other(&self, link: &Identity, peer: &Peer) -> bool {
        let hears = |echoes: &[crate::message::Echo], whom: &Identity| {
            echoes.iter().any(|echo| echo.identity == *whom)
        };
        let link_hears = match self.peers.get(link) {
            _ if *link == self.me.identity => true,
            Some(known) => hears(&known.heartbeat.echoes, &peer.heartbeat.member.identity),
            None => false,
        };
        link_hears && hears(&peer.heartbeat.echoes, link)
    }

    /// A voter out of service and silent for long, as long as 2f+1 others live.
    fn voter_to_drop(&self, voters: &[Member]) -> Option<Identity> {
        let alive = voters
            .iter()
            .filter(|voter| self.is_present(&voter.identity))
            .count();
        if alive <= 2 * self.tolerated {
            return None;
        }
        let gone = |identity: &&Identity| {
            !self.view.in_chain(identity)
                && **identity != self.me.identity
                && self.peers.silence(identity, self.now) >= GONE
        };
        voters
            .iter()
            .map(|voter| &voter.identity)
            .find(gone)
            .cloned()
    }

    /// The view to ask for, given the promises; `None` while it is better to wait.
    pub(super) fn plan(
        &self,
        promises: &BTreeMap<NodeId, Promised>,
        waited: Millis,
    ) -> Option<View> {
        if self.view.number.0 == 0 {
            return self.plan_founding(promises, waited);
        }
        let promised = |link: &&Member| {
            promises
                .get(&link.identity.node)
                .is_some_and(|promise| promise.identity == link.identity)
        };
        let missing = self
            .view
            .links()
            .filter(|link| self.stays(&link.identity))
            .any(|link| !promised(&link));
        if missing && waited < PROMISE_GRACE {
            return None;
        }
        let sealed: Vec<_> = self.view.links().filter(promised).collect();
        let staying: Vec<_> = sealed
            .iter()
            .copied()
            .filter(|link| self.stays(&link.identity))
            .collect();
        self.compose(&staying, promises, waited)
            .or_else(|| self.compose(&sealed, promises, waited))
    }

    fn compose(
        &self,
        survivors: &[&Member],
        promises: &BTreeMap<NodeId, Promised>,
        waited: Millis,
    ) -> Option<View> {
        let positions = survivors
            .iter()
            .filter_map(|link| promises.get(&link.identity.node));
        let base = positions.map(|promise| promise.position).min()?;
        let joiners = self.joiners(base, 0);
        let awaited = self.joiners(base, NEARLY_THERE).len() > joiners.len();
        if awaited && waited < JOIN_GRACE {
            return None;
        }
        let voters = self.next_voters(&joiners);
        let links = survivors.iter().copied().chain(&joiners);
        let chain: Vec<_> = links.map(|link| link.identity.node.clone()).collect();
        let enough = chain.len() >= self.required_links(voters.len());
        enough.then(|| View {
            number: self.view.number.next(),
            voters,
            chain,
            base,
        })
    }

    /// The voters with the joiners among them: a new life of a disk replaces the old one, and voters that are
    /// gone make room.
    fn next_voters(&self, joiners: &[Member]) -> Vec<Member> {
        let replaced = |voter: &Member| {
            joiners
                .iter()
                .any(|joiner| joiner.identity.node == voter.identity.node)
        };
        let mut voters: Vec<_> = self
            .view
            .voters
            .iter()
            .filter(|voter| !replaced(voter))
            .cloned()
            .collect();
        voters.extend(joiners.iter().cloned());
        while let Some(gone) = self.voter_to_drop(&voters) {
            voters.retain(|voter| voter.identity != gone);
        }
        voters.sort_by(|one, other| one.identity.cmp(&other.identity));
        voters
    }

    fn plan_founding(&self, promises: &BTreeMap<NodeId, Promised>, waited: Millis) -> Option<View> {
        let electors = self.electors();
        let promised = |member: &&Member| promises.contains_key(&member.identity.node);
        if electors.iter().any(|member| !promised(&member)) && waited < PROMISE_GRACE {
            return None;
        }
        let founders = self.founders.as_ref()?;
        let at = |address| {
            electors
                .iter()
                .filter(promised)
                .find(|member| member.address == address)
        };
        let links: Vec<_> = founders
            .iter()
            .filter_map(|address| at(*address).cloned())
            .collect();
        let chain = links
            .iter()
            .map(|member| member.identity.node.clone())
            .collect();
        let mut voters = links;
        voters.sort_by(|one, other| one.identity.cmp(&other.identity));
        Some(View {
            number: ViewNumber(1),
            voters,
            chain,
            base: Revision(0),
        })
    }
}
