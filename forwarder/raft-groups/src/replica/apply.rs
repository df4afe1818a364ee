//! Applies committed entries and snapshots to the state machine in log order.

use raft::eraftpb::{self, Entry, EntryType};
use raft::Storage;

use super::effects::{Effects, Membership, SnapshotBase};
use super::entry_context::{EntryContext, GroupState};
use super::{Replica, ReplicaFault};
use crate::wire::raft_message;
use crate::{GroupEvent, Purpose, Term};

impl Replica {
    pub(super) fn apply_entry(&mut self, entry: &Entry, out: &mut Effects) {
        let term = Term(entry.term);
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() && entry.context.is_empty() => {
                self.open_proposals.entry_committed(entry.index, term);
                self.announce_election(term, out);
            }
            EntryType::EntryNormal => {
                self.apply_normal_entry(entry, term, out);
                self.open_proposals.entry_committed(entry.index, term);
            }
            EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => {
                self.apply_membership_change(&entry.context);
                self.membership_index = entry.index;
                self.open_proposals.entry_committed(entry.index, term);
            }
        }
    }

    fn apply_normal_entry(&mut self, entry: &Entry, term: Term, out: &mut Effects) {
        match EntryContext::from_bytes(&entry.context) {
            Some(EntryContext::Command {
                proposer,
                term: own_term,
                number,
            }) if own_term == term => {
                self.committed_proposals.record(proposer, term, number);
                self.state_machine.apply(proposer, term, &entry.data);
                if self.purpose == Purpose::Control {
                    let command = entry.data.to_vec();
                    out.events.push(GroupEvent::Applied {
                        proposer,
                        term,
                        command,
                    });
                }
            }
            Some(EntryContext::Dissolve { term: own_term }) if own_term == term => {
                self.is_dissolved = true;
            }
            // Proposed by an earlier leader: the entry has no effect, on every instance alike.
            _ => {}
        }
    }

    /// Announces the election once the first entry of the new leader's term is applied: the state machine then contains
    /// every command from earlier terms that can ever be committed.
    fn announce_election(&mut self, term: Term, out: &mut Effects) {
        if self.raft_leader_term() != Some(term) || self.is_leader() {
            return;
        }
        self.elected_term = Some(term);
        let state = self.state_machine.snapshot();
        // Answers to this instance's proposals of earlier terms precede the election.
        self.open_proposals
            .take_answers(self.group, &mut out.events);
        out.events.push(GroupEvent::Elected {
            group: self.group,
            purpose: self.purpose,
            term,
            state,
        });
    }

    /// Applies a leader's snapshot that replaced the log.
    pub(super) fn apply_snapshot(&mut self, base: &SnapshotBase, out: &mut Effects) {
        let Some(state) = GroupState::from_bytes(&base.state) else {
            self.fault = Some(ReplicaFault::Corrupt);
            return;
        };
        if self.state_machine.restore(&state.state_machine).is_err() {
            self.fault = Some(ReplicaFault::Corrupt);
            return;
        }
        let term = Term(base.term);
        self.open_proposals
            .snapshot_installed(self.me, base.index, term, &state.committed);
        self.committed_proposals = state.committed;
        self.is_dissolved = state.is_dissolved;
        self.applied_index = base.index;
        if self.purpose == Purpose::Control {
            out.events.push(GroupEvent::SnapshotInstalled {
                state: state.state_machine,
            });
        }
    }

    /// Returns the state up to the last applied entry.
    pub(super) fn snapshot_base(&self) -> SnapshotBase {
        let state = GroupState {
            committed: self.committed_proposals.clone(),
            is_dissolved: self.is_dissolved,
            state_machine: self.state_machine.snapshot(),
        };
        let storage = self.node.store();
        SnapshotBase {
            index: self.applied_index,
            term: storage.term(self.applied_index).unwrap_or_default(),
            members: Membership::from(&storage.conf_state),
            state: state.to_bytes(),
        }
    }

    /// Creates the snapshot that raft requested for a replica whose missing entries are compacted.
    pub(super) fn serve_snapshot_request(&mut self) {
        if !self.node.store().take_snapshot_request() {
            return;
        }
        let base = self.snapshot_base();
        let snapshot = raft_message::Snapshot {
            index: base.index,
            term: base.term,
            members: base.members,
            data: base.state,
        };
        self.node.mut_store().snapshot = Some(eraftpb::Snapshot::from(snapshot));
    }

    /// Returns the state machine's snapshot, for an event loop that begins to follow the group.
    pub fn state_machine_snapshot(&self) -> Vec<u8> {
        self.state_machine.snapshot()
    }
}
