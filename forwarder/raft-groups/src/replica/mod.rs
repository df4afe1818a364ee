//! One group's replica on this instance, without I/O. Inputs are messages, ticks, disk acknowledgements and proposals;
//! the outputs are returned as [`effects::Effects`]. The groups thread owns the replica.
//!
//! The replica adds two guarantees to raft's node. A voter grants no vote within an election timeout after its start or
//! after the last message from its leader, whatever other messages it receives. A leader holds its lease only as long
//! as a majority is certain to withhold its votes in this way.
//!
//! | module | job |
//! | --- | --- |
//! | `inputs` | ticks, messages, acknowledgements, proposals |
//! | `ready` | output of raft's node to the disk, the links and the event loop; the lease |
//! | `apply` | application of committed entries and snapshots to the state machine |
//! | `compaction` | replacement of the log by a snapshot on the local disk |
//! | `membership` | membership changes, and the progress of each member |
//! | `open_proposals` | the answers to proposals |
//! | `log_storage` | the in-memory log |

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

/// The maximum size of the entries in one message, in bytes, to a replica that follows the log.
const MAX_MESSAGE_BYTES: u64 = 256 << 10;
/// The maximum number of messages with entries in flight to one replica.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;
/// The maximum size of the committed entries applied in one step, in bytes.
const MAX_APPLIED_BYTES: u64 = 4 << 20;

/// The reason why a group cannot continue on this instance. Its replica sends no further messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaFault {
    /// The leader's commit index covers acknowledged entries that the local log lacks.
    #[error("its leader has more of it acknowledged than is in the folder, as with an older copy")]
    LostAcknowledgedEntries,
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
    /// Ticks since the last message from the leader, or since this replica was the leader itself.
    ticks_since_leader: u32,
    /// Whether raft's node was the leader when its role was last observed.
    was_leader: bool,
    /// The term for which the event loop was notified that this instance leads.
    elected_term: Option<Term>,
    /// The expiry of the lease, in milliseconds on the clock of `tick`.
    lease_until: f64,
    /// Heartbeats that a majority has not answered yet, oldest first.
    lease_requests: VecDeque<LeaseRequest>,
    last_lease_request: u64,
    ticks: u32,
    open_proposals: OpenProposals,
    awaiting_disk: VecDeque<AwaitingDisk>,
    /// The last number acknowledged by the disk.
    synced_number: u64,
    hard_state: HardState,
    applied_index: u64,
    /// The index of the last applied membership change.
    membership_index: u64,
    is_dissolved: bool,
    fault: Option<ReplicaFault>,
    /// Members that were receiving a snapshot at the last check.
    receiving_snapshot: Vec<u64>,
    election_draw: ElectionDraw,
}

/// A heartbeat whose replies extend the lease.
struct LeaseRequest {
    number: u64,
    /// The send time, in milliseconds on the clock of `tick`.
    sent_at: f64,
}

/// Messages that wait for a disk acknowledgement.
struct AwaitingDisk {
    /// Raft's number of the write.
    number: u64,
    /// Whether anything was submitted to the disk under that number.
    is_write: bool,
    messages: Vec<Message>,
}

/// The state for which a seeded election timeout was last drawn.
struct ElectionDraw {
    count: u64,
    term: u64,
    role: StateRole,
    leader: u64,
}

impl Replica {
    /// Creates a replica from the state on its disk.
    ///
    /// # Errors
    /// [`ReplicaFault::Corrupt`] if that state can't be read.
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
        // Raft panics on an inconsistent log.
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

    /// Runs `step` on raft's node and emits the resulting effects. Raft panics if its log contradicts the leader's log:
    /// then only this group stops, and it sends no further messages.
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
            self.fault = Some(ReplicaFault::LostAcknowledgedEntries);
        }
        if self.fault.is_some() {
            self.step_down(out);
        }
    }

    /// The purpose of the group.
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// The reason why the group cannot continue on this instance, if any.
    pub fn fault(&self) -> Option<ReplicaFault> {
        self.fault
    }

    /// Whether this instance leads the group and has applied all earlier committed entries.
    pub fn is_leader(&self) -> bool {
        self.elected_term.is_some()
    }

    /// The expiry of the lease, in milliseconds on the clock of [`Replica::tick`]; zero: not held.
    pub fn lease_until(&self) -> f64 {
        self.lease_until
    }

    /// Whether the group is dissolved, so that its members may remove it.
    pub fn is_dissolved(&self) -> bool {
        self.is_dissolved
    }

    /// The approximate memory size of the group, in bytes.
    pub fn size(&self) -> usize {
        self.state_machine.size() + self.node.store().byte_size()
    }
}

fn raft_config(me: Incarnation, applied: u64, timing: GroupTiming) -> raft::Config {
    raft::Config {
        id: me.0,
        election_tick: timing.election_ticks as usize,
        // The timeouts differ by at most half a timeout: a successor is elected sooner, and two candidates still rarely
        // collide.
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
