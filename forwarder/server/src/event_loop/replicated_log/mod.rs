//! Event tables of the Raft groups that this process leads, and effects that wait until their groups have committed
//! the records. Which commits an effect waits for is decided in `plankhill_replication`.
//!
//! Owned by the scheduler's host. A table runs ahead of what is committed; nothing that depends on a record leaves
//! before the record is committed.

mod commits;
mod leadership;
mod migration;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use async_channel::Sender;
use plankhill_decisions::interface::{EventId, Ms, OrderKey, TargetId};
use plankhill_event_log::{EventLog, EventTable, PendingEvent};
use plankhill_hot_restart::SubmitResponse;
use plankhill_raft_groups::{GroupId, GroupRequest, Incarnation};
use plankhill_replication::proposals::MAX_COMMAND_BYTES;
use plankhill_replication::{CommitPipeline, GroupRoles, ProposalQueue};

use self::migration::Migration;

use super::command_queue::QueuedCommand;
use crate::messages::{CompletionNotice, OutgoingCall};
use crate::raft::RaftHandle;

/// A client that waits for its accepted event's commit. Dropped, the client's connection is closed without an answer.
pub(super) struct PendingResponse {
    pub(super) group: GroupId,
    pub(super) response: Sender<SubmitResponse>,
}

/// A notice, and the groups that are to record the event's outcome.
pub(super) struct PendingNotice {
    pub(super) groups: Vec<GroupId>,
    pub(super) notice: CompletionNotice,
}

/// Effects of one iteration, which leave once its records are committed.
pub(super) struct IterationEffects {
    pub(super) responses: Vec<PendingResponse>,
    pub(super) commands: Vec<QueuedCommand>,
    pub(super) notices: Vec<PendingNotice>,
}

/// An event of an adopted table, which waits for the end of an attempt that was withdrawn here under the same id.
pub(super) struct DeferredAdoption {
    pub(super) group: GroupId,
    pub(super) event: EventId,
}

/// Number of a proposal to a group.
type ProposalId = (GroupId, u64);

pub(super) struct ReplicatedLog {
    raft: Rc<RaftHandle>,
    roles: GroupRoles,
    /// Of the groups that this process leads, ahead of what is committed.
    tables: BTreeMap<GroupId, EventTable>,
    proposals: ProposalQueue,
    pipeline: CommitPipeline<IterationEffects>,
    /// Clients that wait for the fate of a proposal whose group this process leads no more.
    orphaned_responses: HashMap<ProposalId, Vec<PendingResponse>>,
    migration: Option<Migration>,
    /// Committed calls that wait for the lease of their groups.
    awaiting_lease: Vec<(TargetId, OutgoingCall)>,
    deferred_adoptions: Vec<DeferredAdoption>,
}

impl ReplicatedLog {
    /// `log` is the state folder's; what it still has pending goes into the first group that this process leads.
    pub(super) fn new(raft: Rc<RaftHandle>, log: EventLog) -> Self {
        let roles = GroupRoles::new(raft.incarnation());
        ReplicatedLog {
            raft,
            roles,
            tables: BTreeMap::new(),
            proposals: ProposalQueue::default(),
            pipeline: CommitPipeline::default(),
            orphaned_responses: HashMap::new(),
            migration: Migration::of(log),
            awaiting_lease: Vec::new(),
            deferred_adoptions: Vec::new(),
        }
    }

    /// The first request to the groups: this incarnation accepts new events in a group of its own.
    pub(super) fn create_own_group(&mut self) {
        let request = self.roles.create_own_group();
        self.enqueue(request);
    }

    fn enqueue(&mut self, request: Option<GroupRequest>) {
        if let Some(request) = request {
            self.proposals.enqueue(request);
        }
    }

    /// The group in which new events are accepted, once this process leads it.
    pub(super) fn own_group(&self) -> Option<GroupId> {
        self.roles.own_group()
    }

    pub(super) fn is_led(&self, group: GroupId) -> bool {
        self.roles.is_led(group)
    }

    /// Whether nobody else can own the group's events yet.
    pub(super) fn holds_lease(&self, group: GroupId) -> bool {
        self.raft.holds_lease(group)
    }

    /// The longest time in milliseconds that a process may stand still.
    pub(super) fn max_stall(&self) -> Ms {
        self.raft.max_stall()
    }

    pub(super) fn set_peer_reachable(&mut self, incarnation: Incarnation, reachable: bool) {
        self.roles.set_peer_reachable(incarnation, reachable);
    }

    pub(super) fn contains(&self, event: &EventId) -> bool {
        self.tables.values().any(|table| table.contains(&event.0))
    }

    /// Whether the event is in the table of another group.
    pub(super) fn contains_elsewhere(&self, group: GroupId, event: &EventId) -> bool {
        self.tables
            .iter()
            .any(|(of, table)| *of != group && table.contains(&event.0))
    }

    pub(super) fn groups_with(&self, event: &EventId) -> Vec<GroupId> {
        self.tables
            .iter()
            .filter(|(_, table)| table.contains(&event.0))
            .map(|(group, _)| *group)
            .collect()
    }

    pub(super) fn tables_with_mut<'a>(
        &'a mut self,
        event: &'a EventId,
    ) -> impl Iterator<Item = &'a mut EventTable> {
        self.tables
            .values_mut()
            .filter(|table| table.contains(&event.0))
    }

    pub(super) fn own_table_mut(&mut self) -> Option<&mut EventTable> {
        let own = self.roles.own_group()?;
        self.tables.get_mut(&own)
    }

    /// What the group's table says of an event.
    pub(super) fn pending_event(&self, group: GroupId, event: &EventId) -> Option<PendingEvent> {
        self.tables.get(&group)?.pending_event(&event.0)
    }

    /// Completes an event in one group's table alone.
    pub(super) fn complete_in(&mut self, group: GroupId, event: &EventId) {
        if let Some(table) = self.tables.get_mut(&group) {
            table.complete(&event.0);
        }
    }

    pub(super) fn end_warm_up(&mut self, target: &TargetId) {
        for table in self.tables.values_mut() {
            table.record_warm_up_end(&target.0);
        }
    }

    /// Whether an event of that key is pending in a group that lost its owner and has not ended yet.
    pub(super) fn blocks_order_key(&self, key: OrderKey) -> bool {
        self.raft.replicas().any(key.0, |group, owner, has_events| {
            self.roles.blocks_order_key(group, owner, has_events)
        })
    }

    /// Whether a new event with a body of that many bytes can be recorded. The records of an iteration are one proposal
    /// for each group: admission stops before they would be two.
    pub(super) fn has_capacity_for(&self, body_bytes: usize) -> bool {
        let own = self.roles.own_group().and_then(|own| self.tables.get(&own));
        let Some(table) = own else {
            return false;
        };
        let bytes = table.unwritten_frames().len() + EventTable::max_growth(body_bytes);
        self.raft.accepts_events() && bytes < MAX_COMMAND_BYTES && !self.pipeline.is_full(bytes)
    }
}
