//! Blocked links, crashed nodes, lost folders, and the replacement of lost members by a leader.

use plankhill_raft_groups::replica::entry_context::MembershipChange;
use plankhill_raft_groups::replica::PersistedState;
use plankhill_raft_groups::Incarnation;
use rand::Rng;

use super::{InjectedBug, Simulation};

impl Simulation {
    /// Each leader replaces lost incarnations by new ones, one at a time.
    pub(super) fn replace_lost_members(&mut self) {
        for at in 0..self.nodes.len() {
            let incarnations: Vec<Incarnation> = self.nodes.iter().map(|n| n.me).collect();
            let Some(replica) = &self.nodes[at].replica else {
                continue;
            };
            if !replica.is_leader() {
                continue;
            }
            let members = replica.member_progress();
            let lost = members
                .iter()
                .find(|s| !incarnations.contains(&s.incarnation))
                .map(|s| (s.incarnation, s.is_voter));
            let ready = members
                .iter()
                .find(|s| !s.is_voter && s.is_up_to_date && incarnations.contains(&s.incarnation));
            let new = incarnations.iter().find(|l| !replica.is_member(**l));
            let changes = match (lost, ready, new) {
                (Some((lost, false)), _, _) => vec![MembershipChange::Remove(lost)],
                (Some((lost, true)), Some(new), _) => {
                    vec![
                        MembershipChange::AddVoter(new.incarnation),
                        MembershipChange::Remove(lost),
                    ]
                }
                (Some(_), None, Some(new)) => vec![MembershipChange::AddLearner(*new)],
                _ => continue,
            };
            self.with_replica(at, |replica, out| {
                replica.change_members(&changes, out);
            });
        }
    }

    pub(super) fn inject_faults(&mut self, fault_rate: f64) {
        if !self.rng.random_bool(0.004 * fault_rate) {
            return;
        }
        let at = self.rng.random_range(0..self.nodes.len());
        let down = self.nodes.iter().filter(|n| n.replica.is_none()).count();
        match self.rng.random_range(0..10) {
            0..=3 => {
                let to = self.rng.random_range(0..self.nodes.len());
                self.blocked_links.insert((at, to));
                if self.rng.random_bool(0.5) {
                    self.blocked_links.insert((to, at));
                }
            }
            4..=5 => self.blocked_links.clear(),
            6..=8 if down == 0 => {
                self.crash(at);
                self.nodes[at].restart_at = self.now + self.rng.random_range(1.0..900.0);
            }
            9 if down == 0 && self.is_fully_replicated() => {
                self.crash(at);
                self.nodes[at].restart_at = self.now + self.rng.random_range(1.0..900.0);
                self.lose_folder(at);
            }
            _ => {}
        }
    }

    pub fn block_link(&mut self, one: usize, other: usize) {
        self.blocked_links.insert((one, other));
        self.blocked_links.insert((other, one));
    }

    /// Crashes a node that restarts a millisecond later.
    pub fn restart(&mut self, at: usize) {
        self.crash(at);
        self.nodes[at].restart_at = self.now + 1.0;
    }

    /// Returns the node that holds the lease.
    pub fn lease_holder(&self) -> Option<usize> {
        let holds = |n: &super::Node| {
            n.replica
                .as_ref()
                .is_some_and(|c| self.now * n.clock_rate < c.lease_until())
        };
        self.nodes.iter().position(holds)
    }

    /// Whether every incarnation is a voter with all entries, so that one folder may be lost.
    fn is_fully_replicated(&self) -> bool {
        let leader = self
            .nodes
            .iter()
            .filter_map(|n| n.replica.as_ref())
            .find(|c| c.is_leader());
        let Some(leader) = leader else { return false };
        let members = leader.member_progress();
        members.len() + 1 == self.nodes.len()
            && members.iter().all(|s| {
                s.is_voter && s.is_up_to_date && self.nodes.iter().any(|n| n.me == s.incarnation)
            })
    }

    /// Each of the pending disk writes may or may not survive a crash; the surviving writes are a prefix.
    fn crash(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.replica = None;
        let kept = self.rng.random_range(0..=node.queue.len());
        for (_, persist) in node.queue.drain(..).take(kept) {
            node.disk.apply(persist);
        }
        node.restart_at = f64::INFINITY;
    }

    fn lose_folder(&mut self, at: usize) {
        self.nodes[at].disk = PersistedState::default();
        if self.injected_bug != InjectedBug::ReusedIncarnation {
            self.last_incarnation += 1;
            self.nodes[at].me = Incarnation(self.last_incarnation);
        }
    }
}
