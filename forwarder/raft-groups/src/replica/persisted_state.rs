//! What an instance has of a group on its disk.

use raft::eraftpb::Entry;

use super::effects::{HardState, Membership, PersistRequest, SnapshotBase};
use super::entry_context::{CommittedProposals, GroupState};
use crate::{Incarnation, StateMachine};

/// What an instance has of a group: made new, or read from its disk.
#[derive(Debug, Default)]
pub struct PersistedState {
    /// The state that the log follows.
    pub base: SnapshotBase,
    /// What a vote rests on.
    pub hard_state: HardState,
    /// The log behind `base`, in order.
    pub entries: Vec<Entry>,
    /// Whether it was read from the disk: an earlier process may have promised a leader not to vote.
    pub is_restart: bool,
}

impl PersistedState {
    /// A new group's first state, the same on each of its founding voters.
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

    /// Applies what was written to the disk after it.
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
