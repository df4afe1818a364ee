//! The state of a group on an instance's disk.

use raft::eraftpb::Entry;

use super::effects::{HardState, Membership, PersistRequest, SnapshotBase};
use super::entry_context::{CommittedProposals, GroupState};
use crate::{Incarnation, StateMachine};

/// The state of a group, either newly created or read from disk.
#[derive(Debug, Default)]
pub struct PersistedState {
    /// The state that precedes the log.
    pub base: SnapshotBase,
    /// The state that a vote depends on.
    pub hard_state: HardState,
    /// The log after `base`, in order.
    pub entries: Vec<Entry>,
    /// Whether the state was read from disk: an earlier process may have confirmed a leader's lease, so the replica
    /// withholds its vote for an election timeout.
    pub is_restart: bool,
}

impl PersistedState {
    /// Creates the first state of a new group, which is identical on each of its founding voters.
    pub fn founded(voters: &[Incarnation], state_machine: &dyn StateMachine) -> Self {
        let state = GroupState {
            committed: CommittedProposals::default(),
            is_dissolved: false,
            state_machine: state_machine.snapshot(),
        };
        let members = Membership {
            voters: voters.iter().map(|voter| voter.0).collect(),
            ..Membership::default()
        };
        PersistedState {
            base: SnapshotBase {
                index: 1,
                term: 1,
                members,
                state: state.to_bytes(),
            },
            hard_state: HardState {
                term: 1,
                vote: 0,
                commit: 1,
            },
            ..PersistedState::default()
        }
    }

    /// Applies a later write to the state.
    pub fn apply(&mut self, request: PersistRequest) {
        if let Some(hard_state) = request.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(base) = request.base {
            self.base = base;
            self.entries.clear();
        }
        if let Some(first) = request.entries.first() {
            let kept = first.index.saturating_sub(self.base.index + 1) as usize;
            self.entries.truncate(kept);
            self.entries.extend(request.entries);
        }
    }
}
