//! Changes of a group's voters: a learner first, then one joint change that lets it in and another out.

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use raft::ProgressState;

use super::stamp::{Change, Stamp};
use super::Core;
use crate::Incarnation;

/// One member as its leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    pub who: Incarnation,
    pub voter: bool,
    /// Has all that is committed.
    pub up_to_date: bool,
    /// Nothing has come from it yet.
    pub new: bool,
    /// Knows that all it has is committed.
    pub knows: bool,
}

impl Core {
    /// Proposes a change of voters. False: not now.
    pub fn change(&mut self, changes: &[Change], out: &mut super::Effects) -> bool {
        let Some(term) = self.leads else { return false };
        if self.node.raft.has_pending_conf() || self.is_joint() || changes.is_empty() {
            return false;
        }
        let stamp = Stamp::Voters {
            term,
            changes: changes.to_vec(),
        };
        let mut done = false;
        self.guarded(out, |core| {
            done = core
                .node
                .propose_conf_change(stamp.bytes(), raft_change(changes))
                .is_ok();
        });
        done
    }

    /// Proposes that nothing of it is kept any more.
    pub fn dissolve(&mut self, out: &mut super::Effects) {
        let Some(term) = self.leads else { return };
        let stamp = Stamp::Dissolve { term };
        self.guarded(out, |core| {
            // Refused, it is ordered again.
            let _ = core.node.propose(stamp.bytes(), Vec::new());
        });
    }

    /// Raft's own encoding of the change is passed over: it is made anew from ours.
    pub(super) fn apply_change(&mut self, context: &[u8]) {
        let change = match Stamp::read(context) {
            Some(Stamp::Voters { changes, .. }) => raft_change(&changes),
            // Raft's own, empty: leaves the joint state.
            _ => ConfChangeV2::default(),
        };
        if let Ok(conf) = self.node.apply_conf_change(&change) {
            self.node.mut_store().conf = conf;
        }
    }

    /// Every voter knows the set of voters: until then a change that their leader takes for done may be under
    /// way to them, and the old voters may still be asked.
    pub fn is_settled(&self) -> bool {
        let voters = self.node.store().conf.get_voters();
        let known = |id: &u64| {
            let progress = self.node.raft.prs().get(*id);
            *id == self.me.0 || progress.is_some_and(|p| p.committed_index >= self.changed)
        };
        !self.is_joint() && voters.iter().all(known)
    }

    fn is_joint(&self) -> bool {
        !self.node.store().conf.get_voters_outgoing().is_empty()
    }

    pub fn is_member(&self, who: Incarnation) -> bool {
        let conf = &self.node.store().conf;
        [
            conf.get_voters(),
            conf.get_learners(),
            conf.get_voters_outgoing(),
            conf.get_learners_next(),
        ]
        .iter()
        .any(|all| all.contains(&who.0))
    }

    /// Its voters and learners, as committed here.
    pub fn members(&self) -> (Vec<Incarnation>, Vec<Incarnation>) {
        let conf = &self.node.store().conf;
        let named = |all: &[u64]| all.iter().copied().map(Incarnation).collect();
        (named(conf.get_voters()), named(conf.get_learners()))
    }

    /// All others, to a leader.
    pub fn seen(&self) -> Vec<Seen> {
        let raft = &self.node.raft;
        let committed = raft.raft_log.committed;
        let conf = &self.node.store().conf;
        let others = raft.prs().iter().filter(|(id, _)| **id != self.me.0);
        let mut all: Vec<Seen> = others
            .map(|(id, progress)| Seen {
                who: Incarnation(*id),
                voter: conf.get_voters().contains(id),
                // Raft goes on probing one that has all, until there is more to send.
                up_to_date: progress.matched >= committed
                    && progress.state != ProgressState::Snapshot,
                new: progress.matched == 0,
                knows: progress.committed_index >= committed,
            })
            .collect();
        all.sort_by_key(|seen| seen.who);
        all
    }

    pub fn leader(&self) -> Option<Incarnation> {
        Some(Incarnation(self.node.raft.leader_id)).filter(|leader| leader.0 != 0)
    }

    /// Raft waits without end for the answer to a state that it sent, and one that was lost has none: it is
    /// sent again to those that still had not got it at the second look.
    pub(super) fn send_states_again(&mut self) {
        let waits = self
            .node
            .raft
            .prs()
            .iter()
            .filter(|(_, p)| p.state == ProgressState::Snapshot);
        let waiting: Vec<u64> = waits.map(|(id, _)| *id).collect();
        for id in waiting.iter().filter(|id| self.sent_a_state.contains(id)) {
            self.node
                .report_snapshot(*id, raft::SnapshotStatus::Failure);
        }
        self.sent_a_state = waiting;
    }

    /// Its link broke: what was under way to it is sent again.
    pub fn unreachable(&mut self, who: Incarnation, out: &mut super::Effects) {
        self.guarded(out, |core| {
            if core.led {
                core.node.report_unreachable(who.0);
                core.node
                    .report_snapshot(who.0, raft::SnapshotStatus::Failure);
            }
        });
    }
}

fn raft_change(changes: &[Change]) -> ConfChangeV2 {
    let mut all = ConfChangeV2::default();
    let single = |change: &Change| {
        let (kind, who) = match change {
            Change::Learner(who) => (ConfChangeType::AddLearnerNode, who),
            Change::Voter(who) => (ConfChangeType::AddNode, who),
            Change::Remove(who) => (ConfChangeType::RemoveNode, who),
        };
        let mut one = ConfChangeSingle::default();
        one.set_change_type(kind);
        one.node_id = who.0;
        one
    };
    all.set_changes(changes.iter().map(single).collect::<Vec<_>>().into());
    all
}
