//! Membership changes of a group: an instance is first added as a learner; then one joint change makes it a voter and
//! removes another member.

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use raft::ProgressState;

use super::effects::Effects;
use super::entry_context::{EntryContext, MembershipChange};
use super::Replica;
use crate::Incarnation;

/// The progress of another member, as known to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// Whether the member votes.
    pub is_voter: bool,
    /// Whether the member has all committed entries.
    pub is_up_to_date: bool,
    /// Whether the member has not acknowledged anything yet.
    pub is_new: bool,
    /// Whether the member has the current commit index.
    pub is_commit_current: bool,
}

impl Replica {
    /// Proposes a membership change; returns false if none is possible now.
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
            // If raft refuses, the event loop repeats the request.
            let _ = replica.node.propose(context.to_bytes(), Vec::new());
        });
    }

    /// Applies a committed change. Raft's own encoding of the change is ignored: the change is rebuilt from the entry's
    /// context.
    pub(super) fn apply_membership_change(&mut self, context: &[u8]) {
        let change = match EntryContext::from_bytes(context) {
            Some(EntryContext::Members { changes, .. }) => raft_change(&changes),
            // An empty change made by raft itself, which leaves the joint state.
            _ => ConfChangeV2::default(),
        };
        if let Ok(conf_state) = self.node.apply_conf_change(&change) {
            self.node.mut_store().conf_state = conf_state;
        }
    }

    /// Whether the last membership change is committed on every voter. Until then, a change that is complete for the
    /// leader may not have reached all voters, and an election may still involve the previous voters.
    pub fn is_membership_change_complete(&self) -> bool {
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

    /// Whether the incarnation is a voter or learner, before or after a change in progress.
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

    /// Returns the group's voters, as committed on this instance.
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

    /// Returns all other members, in the order of their incarnations; valid on a leader only.
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
                // Raft keeps probing a member that has all entries until there is more to send.
                is_up_to_date: progress.matched >= committed && !is_receiving_snapshot,
                is_new: progress.matched == 0,
                is_commit_current: progress.committed_index >= committed,
            });
        }
        members.sort_by_key(|member| member.incarnation);
        members
    }

    /// Returns the leader, if this replica knows one.
    pub fn leader(&self) -> Option<Incarnation> {
        match self.node.raft.leader_id {
            0 => None,
            id => Some(Incarnation(id)),
        }
    }

    /// Raft waits indefinitely for the reply to a snapshot, and a lost snapshot has none: the snapshot is sent again to
    /// members that have not replied since the previous call.
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

    /// Reports that the link to a member was lost, so that messages in flight are sent again.
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
