//! One group's replica on this instance, without I/O: it is handed messages, ticks, acknowledgements of the disk and
//! proposals, and hands back [`effects::Effects`]. The groups' thread owns it.
//!
//! Around raft's node it keeps what raft itself does not promise. A voter votes for nobody within an election
//! timeout after it received something from its leader or was started, whatever else it receives. A leader holds its
//! lease only as long as that promise of a majority surely lasts.
//!
//! | module | job |
//! | --- | --- |
//! | `inputs` | ticks, messages, acknowledgements, proposals |
//! | `ready` | from raft's node to the disk, the links and the event loop; the lease |
//! | `apply` | committed entries and snapshots into the state machine |
//! | `compaction` | when the log is replaced by a snapshot on the own disk |
//! | `membership` | changes of members, and how far each member is |
//! | `open_proposals` | which proposals are answered, and how |
//! | `log_storage` | the log in memory |

mod apply;
mod compaction;
pub mod effects;
pub mod entry_context;
mod inputs;
mod log_storage;
mod membership;
mod open_proposals;
mod persisted_state;
mod ready;
mod timing;

use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};

use raft::eraftpb::{self, Message};
use raft::{RawNode, StateRole};

use crate::{GroupId, Incarnation, Purpose, StateMachine, Term};
use effects::{Effects, HardState};
use entry_context::{CommittedProposals, GroupState};
use log_storage::{LogPosition, LogStorage};
pub use membership::MemberProgress;
use open_proposals::{OpenProposals, MAX_UNCOMMITTED_BYTES};
pub use persisted_state::PersistedState;
pub use timing::GroupTiming;

/// Bytes of entries in one message to a replica that follows the log.
const MAX_MESSAGE_BYTES: u64 = 256 << 10;
/// Messages with entries that may be in flight to one replica.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;
/// Bytes of committed entries that are applied in one step.
const MAX_APPLIED_BYTES: u64 = 4 << 20;

/// Why a group can't go on here. Its replica sends nothing more to anyone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaFault {
    /// The leader knows of more than is here.
    #[error("its leader has more of it acknowledged than is in the folder, as with an older copy")]
    LostAcknowledged,
    /// A snapshot or a log can't be read.
    #[error("its snapshot or its log can't be read")]
    Corrupt,
}

/// One group's replica on this instance.
pub struct Replica {
    group: GroupId,
    purpose: Purpose,
    me: Incarnation,
    node: RawNode<LogStorage>,
    state_machine: Box<dyn StateMachine>,
    committed_proposals: CommittedProposals,
    timing: GroupTiming,
    /// Ticks since something came from the leader, or since this replica led itself.
    ticks_since_leader: u32,
    /// Whether raft's node led when it was last looked at.
    was_leader: bool,
    /// The term for which the event loop was told that this instance leads.
    elected_term: Option<Term>,
    /// Until when the lease is held, in milliseconds on the clock of `tick`.
    lease_until: f64,
    /// Heartbeats that were not answered by a majority yet, oldest first.
    lease_requests: VecDeque<LeaseRequest>,
    last_lease_request: u64,
    ticks: u32,
    open_proposals: OpenProposals,
    awaiting_disk: VecDeque<AwaitingDisk>,
    /// The last number that the disk has acknowledged.
    synced_number: u64,
    hard_state: HardState,
    applied_index: u64,
    /// The index of the last change of members that was applied.
    membership_index: u64,
    is_dissolved: bool,
    fault: Option<ReplicaFault>,
    /// Members that were being sent a snapshot when last looked at.
    receiving_snapshot: Vec<u64>,
    election_draw: ElectionDraw,
}

/// A heartbeat whose answers extend the lease.
struct LeaseRequest {
    number: u64,
    /// In milliseconds on the clock of `tick`.
    sent_at: f64,
}

/// Messages that wait for the disk.
struct AwaitingDisk {
    /// Raft's number of what is written.
    number: u64,
    /// Whether anything was handed to the disk under that number.
    is_write: bool,
    messages: Vec<Message>,
}

/// What an election timeout that is a function of the seed was drawn for.
struct ElectionDraw {
    count: u64,
    term: u64,
    role: StateRole,
    leader: u64,
}

impl Replica {
    /// A replica that starts with what is on its disk.
    ///
    /// # Errors
    /// [`ReplicaFault::Corrupt`] where that can't be read.
    pub fn new(
        group: GroupId,
        purpose: Purpose,
        me: Incarnation,
        persisted: PersistedState,
        mut state_machine: Box<dyn StateMachine>,
        timing: GroupTiming,
    ) -> Result<Self, ReplicaFault> {
        let PersistedState {
            base,
            hard_state,
            entries,
            is_restart,
        } = persisted;
        let mut state = GroupState::default();
        if base.index > 0 {
            state = GroupState::from_bytes(&base.state).ok_or(ReplicaFault::Corrupt)?;
            state_machine
                .restore(&state.state_machine)
                .map_err(|_| ReplicaFault::Corrupt)?;
        }
        let last_index = base.index + entries.len() as u64;
        let raft_hard_state = eraftpb::HardState {
            term: hard_state.term,
            vote: hard_state.vote,
            commit: hard_state.commit.clamp(base.index, last_index),
            ..eraftpb::HardState::default()
        };
        let compacted = LogPosition {
            index: base.index,
            term: base.term,
        };
        let storage = LogStorage::new(compacted, raft_hard_state, base.members.into(), entries);
        let config = raft_config(me, base.index, timing);
        let silent = slog::Logger::root(slog::Discard, slog::o!());
        // Raft panics over a log that contradicts itself.
        let node = catch_unwind(AssertUnwindSafe(|| RawNode::new(&config, storage, &silent)));
        let Ok(Ok(node)) = node else {
            return Err(ReplicaFault::Corrupt);
        };
        let mut replica = Replica {
            group,
            purpose,
            me,
            node,
            state_machine,
            committed_proposals: state.committed,
            timing,
            ticks_since_leader: if is_restart { 0 } else { timing.election_ticks },
            was_leader: false,
            elected_term: None,
            lease_until: 0.0,
            lease_requests: VecDeque::new(),
            last_lease_request: 0,
            ticks: 0,
            open_proposals: OpenProposals::default(),
            awaiting_disk: VecDeque::new(),
            synced_number: 0,
            hard_state,
            applied_index: base.index,
            membership_index: base.index,
            is_dissolved: state.is_dissolved,
            fault: None,
            receiving_snapshot: Vec::new(),
            election_draw: ElectionDraw {
                count: 0,
                term: 0,
                role: StateRole::Follower,
                leader: 0,
            },
        };
        replica.draw_election_timeout();
        Ok(replica)
    }

    /// Runs `step` on raft's node and hands out what follows. Raft panics where its log contradicts its leader's:
    /// only this group ends, and sends nothing more.
    fn guarded(&mut self, out: &mut Effects, step: impl FnOnce(&mut Replica)) {
        if self.fault.is_some() {
            return;
        }
        let stepped = catch_unwind(AssertUnwindSafe(|| {
            step(self);
            self.draw_election_timeout();
            self.release_messages(out);
            self.drain_ready(out);
        }));
        if stepped.is_err() {
            self.fault = Some(ReplicaFault::LostAcknowledged);
        }
        if self.fault.is_some() {
            self.step_down(out);
        }
    }

    /// What the group is for.
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// Why the group can't go on here.
    pub fn fault(&self) -> Option<ReplicaFault> {
        self.fault
    }

    /// Whether this instance leads the group, and all that was committed before is applied.
    pub fn is_leader(&self) -> bool {
        self.elected_term.is_some()
    }

    /// Until when the lease is held, in milliseconds on the clock of [`Replica::tick`]; zero: not at all.
    pub fn lease_until(&self) -> f64 {
        self.lease_until
    }

    /// Whether the group is dissolved: its members may forget it.
    pub fn is_dissolved(&self) -> bool {
        self.is_dissolved
    }

    /// Bytes of memory that the group takes, approximately.
    pub fn size(&self) -> usize {
        self.state_machine.size() + self.node.store().byte_size()
    }
}

fn raft_config(me: Incarnation, applied: u64, timing: GroupTiming) -> raft::Config {
    raft::Config {
        id: me.0,
        election_tick: timing.election_ticks as usize,
        // Half a timeout apart at most: a successor is elected sooner, and two candidates still rarely meet.
        max_election_tick: (timing.election_ticks + timing.election_ticks / 2) as usize,
        heartbeat_tick: timing.heartbeat_ticks as usize,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_MESSAGES_IN_FLIGHT,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        max_committed_size_per_ready: MAX_APPLIED_BYTES,
        ..raft::Config::default()
    }
}
