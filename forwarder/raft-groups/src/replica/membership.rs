//! Changes of a group's members: a learner first, then one joint change that makes it a voter and removes another
//! one.

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use raft::ProgressState;

use super::effects::Effects;
use super::entry_context::{EntryContext, MembershipChange};
use super::Replica;
use crate::Incarnation;

/// One other member as its leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// Who it is.
    pub incarnation: Incarnation,
    /// Whether it votes.
    pub is_voter: bool,
    /// Whether it has all that is committed.
    pub is_up_to_date: bool,
    /// Whether nothing has come from it yet.
    pub is_new: bool,
    /// Whether it knows that all that is committed is.
    pub knows_commit: bool,
}

impl Replica {
    /// Proposes a change of members; false where that is not possible now.
    pub fn change_members(&mut self, changes: &[MembershipChange], out: &mut Effects) -> bool {
        let Some(term) = self.elected_term else {
            return false;
        };
        if self.node.raft.has_pending_conf() || self.is_joint() || changes.is_empty() {
            return false;
        }
        let context = EntryContext::Members {
            term,
            changes: changes.to_vec(),
        };
        let mut is_proposed = false;
        self.guarded(out, |replica| {
            let proposed = replica
                .node
                .propose_conf_change(context.to_bytes(), raft_change(changes));
            is_proposed = proposed.is_ok();
        });
        is_proposed
    }

    /// Proposes to dissolve the group.
    pub fn dissolve(&mut self, out: &mut Effects) {
        let Some(term) = self.elected_term else {
            return;
        };
        let context = EntryContext::Dissolve { term };
        self.guarded(out, |replica| {
            // Where raft refuses, the event loop requests it again.
            let _ = replica.node.propose(context.to_bytes(), Vec::new());
        });
    }

    /// Applies a committed change. Raft's own encoding of it is skipped: the change is made again from this
    /// package's.
    pub(super) fn apply_membership_change(&mut self, context: &[u8]) {
        let change = match EntryContext::from_bytes(context) {
            Some(EntryContext::Members { changes, .. }) => raft_change(&changes),
            // Raft's own, empty: leaves the joint state.
            _ => ConfChangeV2::default(),
        };
        if let Ok(conf_state) = self.node.apply_conf_change(&change) {
            self.node.mut_store().conf_state = conf_state;
        }
    }

    /// Whether every voter knows the set of voters. Until then a change that the leader takes for done may still be
    /// on its way to them, and the earlier voters may still be asked.
    pub fn is_membership_settled(&self) -> bool {
        if self.is_joint() {
            return false;
        }
        self.node.store().conf_state.get_voters().iter().all(|id| {
            let progress = self.node.raft.prs().get(*id);
            *id == self.me.0
                || progress
                    .is_some_and(|progress| progress.committed_index >= self.membership_index)
        })
    }

    fn is_joint(&self) -> bool {
        !self
            .node
            .store()
            .conf_state
            .get_voters_outgoing()
            .is_empty()
    }

    /// Whether it is a voter or learner, before or after a change that is under way.
    pub fn is_member(&self, incarnation: Incarnation) -> bool {
        let conf = &self.node.store().conf_state;
        [
            conf.get_voters(),
            conf.get_learners(),
            conf.get_voters_outgoing(),
            conf.get_learners_next(),
        ]
        .iter()
        .any(|ids| ids.contains(&incarnation.0))
    }

    /// The group's voters, as committed here.
    pub fn voters(&self) -> Vec<Incarnation> {
        self.node
            .store()
            .conf_state
            .get_voters()
            .iter()
            .copied()
            .map(Incarnation)
            .collect()
    }

    /// All other members, in the order of their incarnations; for a leader.
    pub fn member_progress(&self) -> Vec<MemberProgress> {
        let raft = &self.node.raft;
        let committed = raft.raft_log.committed;
        let voters = self.node.store().conf_state.get_voters();
        let mut members = Vec::new();
        for (id, progress) in raft.prs().iter() {
            if *id == self.me.0 {
                continue;
            }
            let is_receiving_snapshot = progress.state == ProgressState::Snapshot;
            members.push(MemberProgress {
                incarnation: Incarnation(*id),
                is_voter: voters.contains(id),
                // Raft goes on probing one that has all, until there is more to send.
                is_up_to_date: progress.matched >= committed && !is_receiving_snapshot,
                is_new: progress.matched == 0,
                knows_commit: progress.committed_index >= committed,
            });
        }
        members.sort_by_key(|member| member.incarnation);
        members
    }

    /// The leader, as far as this replica knows.
    pub fn leader(&self) -> Option<Incarnation> {
        match self.node.raft.leader_id {
            0 => None,
            id => Some(Incarnation(id)),
        }
    }

    /// Raft waits without end for the answer to a snapshot that it sent, and one that was lost has none: it is sent
    /// again to those that still had not answered at the second look.
    pub(super) fn resend_snapshots(&mut self) {
        let progress = self.node.raft.prs().iter();
        let receiving = progress.filter(|(_, progress)| progress.state == ProgressState::Snapshot);
        let receiving: Vec<u64> = receiving.map(|(id, _)| *id).collect();
        for id in receiving
            .iter()
            .filter(|id| self.receiving_snapshot.contains(id))
        {
            self.node
                .report_snapshot(*id, raft::SnapshotStatus::Failure);
        }
        self.receiving_snapshot = receiving;
    }

    /// The link to a member broke: what was in flight to it is sent again.
    pub fn report_unreachable(&mut self, incarnation: Incarnation, out: &mut Effects) {
        self.guarded(out, |replica| {
            if replica.was_leader {
                replica.node.report_unreachable(incarnation.0);
                replica
                    .node
                    .report_snapshot(incarnation.0, raft::SnapshotStatus::Failure);
            }
        });
    }
}

fn raft_change(changes: &[MembershipChange]) -> ConfChangeV2 {
    let mut change = ConfChangeV2::default();
    change.set_changes(changes.iter().map(single_change).collect::<Vec<_>>().into());
    change
}

fn single_change(change: &MembershipChange) -> ConfChangeSingle {
    let (kind, incarnation) = match change {
        MembershipChange::AddLearner(incarnation) => (ConfChangeType::AddLearnerNode, incarnation),
        MembershipChange::AddVoter(incarnation) => (ConfChangeType::AddNode, incarnation),
        MembershipChange::Remove(incarnation) => (ConfChangeType::RemoveNode, incarnation),
    };
    let mut single = ConfChangeSingle::default();
    single.set_change_type(kind);
    single.node_id = incarnation.0;
    single
}
