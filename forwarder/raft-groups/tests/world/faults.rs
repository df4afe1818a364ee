//! Links that break, nodes that crash, folders that are lost, and how a leader makes up for it.

use plankhill_raft_groups::replica::entry_context::MembershipChange;
use plankhill_raft_groups::replica::PersistedState;
use plankhill_raft_groups::Incarnation;
use rand::Rng;

use super::{Planted, World};

impl World {
    /// A leader lets a new life in for each that has gone, one at a time.
    pub(super) fn replacements(&mut self) {
        for at in 0..self.nodes.len() {
            let lives: Vec<Incarnation> = self.nodes.iter().map(|n| n.me).collect();
            let Some(core) = &self.nodes[at].core else {
                continue;
            };
            if !core.is_leader() {
                continue;
            }
            let seen = core.member_progress();
            let gone = seen
                .iter()
                .find(|s| !lives.contains(&s.incarnation))
                .map(|s| (s.incarnation, s.is_voter));
            let ready = seen
                .iter()
                .find(|s| !s.is_voter && s.is_up_to_date && lives.contains(&s.incarnation));
            let new = lives.iter().find(|l| !core.is_member(**l));
            let changes = match (gone, ready, new) {
                (Some((gone, false)), _, _) => vec![MembershipChange::Remove(gone)],
                (Some((gone, true)), Some(new), _) => {
                    vec![
                        MembershipChange::AddVoter(new.incarnation),
                        MembershipChange::Remove(gone),
                    ]
                }
                (Some(_), None, Some(new)) => vec![MembershipChange::AddLearner(*new)],
                _ => continue,
            };
            self.with(at, |core, out| {
                core.change_members(&changes, out);
            });
        }
    }

    pub(super) fn inject_faults(&mut self, rough: f64) {
        if !self.rng.random_bool(0.004 * rough) {
            return;
        }
        let at = self.rng.random_range(0..self.nodes.len());
        let down = self.nodes.iter().filter(|n| n.core.is_none()).count();
        match self.rng.random_range(0..10) {
            0..=3 => {
                let to = self.rng.random_range(0..self.nodes.len());
                self.cut.insert((at, to));
                if self.rng.random_bool(0.5) {
                    self.cut.insert((to, at));
                }
            }
            4..=5 => self.cut.clear(),
            6..=8 if down == 0 => {
                self.crash(at);
                self.nodes[at].back_at = self.now + self.rng.random_range(1.0..900.0);
            }
            9 if down == 0 && self.whole() => {
                self.crash(at);
                self.nodes[at].back_at = self.now + self.rng.random_range(1.0..900.0);
                self.wipe(at);
            }
            _ => {}
        }
    }

    pub fn cut_off(&mut self, one: usize, other: usize) {
        self.cut.insert((one, other));
        self.cut.insert((other, one));
    }

    /// Ends one that comes back a millisecond later.
    pub fn restart(&mut self, at: usize) {
        self.crash(at);
        self.nodes[at].back_at = self.now + 1.0;
    }

    /// The one that holds.
    pub fn holder(&self) -> Option<usize> {
        let holds = |n: &super::Node| {
            n.core
                .as_ref()
                .is_some_and(|c| self.now * n.rate < c.lease_until())
        };
        self.nodes.iter().position(holds)
    }

    /// Every life is a voter and has all: one folder may be lost.
    fn whole(&self) -> bool {
        let leader = self
            .nodes
            .iter()
            .filter_map(|n| n.core.as_ref())
            .find(|c| c.is_leader());
        let Some(leader) = leader else { return false };
        let seen = leader.member_progress();
        seen.len() + 1 == self.nodes.len()
            && seen.iter().all(|s| {
                s.is_voter && s.is_up_to_date && self.nodes.iter().any(|n| n.me == s.incarnation)
            })
    }

    /// What was handed to the disk lately may be on it or not.
    fn crash(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.core = None;
        let kept = self.rng.random_range(0..=node.queue.len());
        for (_, persist) in node.queue.drain(..).take(kept) {
            node.disk.apply(persist);
        }
        node.back_at = f64::INFINITY;
    }

    fn wipe(&mut self, at: usize) {
        self.nodes[at].disk = PersistedState::default();
        if self.planted != Planted::SameLife {
            self.lives += 1;
            self.nodes[at].me = Incarnation(self.lives);
        }
    }
}
