//! Event tables of the Raft groups that this process leads, and effects that wait until their
//! groups have committed the records. `plankhill_replication` decides which commits an effect waits
//! for.
//!
//! Owned by the scheduler's host. A table includes records that are not committed yet; no effect
//! that depends on a record is sent before the record is committed.

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

/// A client that waits for the commit of its accepted event. Dropping this value closes the
/// client's connection without a response.
pub(super) struct PendingResponse {
    pub(super) group: GroupId,
    pub(super) response: Sender<SubmitResponse>,
}

/// A notice, and the groups that record the event's outcome.
pub(super) struct PendingNotice {
    pub(super) groups: Vec<GroupId>,
    pub(super) notice: CompletionNotice,
}

/// Effects of one iteration, which are sent once its records are committed.
pub(super) struct IterationEffects {
    pub(super) responses: Vec<PendingResponse>,
    pub(super) commands: Vec<QueuedCommand>,
    pub(super) notices: Vec<PendingNotice>,
}

/// An event of a group whose adoption waits for the end of an attempt that is in flight here under
/// the same id, after the event of that attempt was withdrawn.
pub(super) struct DeferredAdoption {
    pub(super) group: GroupId,
    pub(super) event: EventId,
}

/// Group and number of a proposal.
type ProposalId = (GroupId, u64);

pub(super) struct ReplicatedLog {
    raft: Rc<RaftHandle>,
    roles: GroupRoles,
    /// Tables of the groups that this process leads, including records that are not committed yet.
    tables: BTreeMap<GroupId, EventTable>,
    proposals: ProposalQueue,
    pipeline: CommitPipeline<IterationEffects>,
    /// Clients that wait for the result of a proposal whose group this process no longer leads.
    orphaned_responses: HashMap<ProposalId, Vec<PendingResponse>>,
    migration: Option<Migration>,
    /// Committed calls that wait for the lease of their groups.
    awaiting_lease: Vec<(TargetId, OutgoingCall)>,
    deferred_adoptions: Vec<DeferredAdoption>,
}

impl ReplicatedLog {
    /// `log` is the state folder's event log; its pending events are proposed to this process's own
    /// group.
    pub(super) fn new(raft: Rc<RaftHandle>, log: EventLog) -> Self {
        let roles = GroupRoles::new(raft.incarnation());
        ReplicatedLog {
            raft,
            roles,
            tables: BTreeMap::new(),
            proposals: ProposalQueue::default(),
            pipeline: CommitPipeline::default(),
            orphaned_responses: HashMap::new(),
            migration: Migration::from_log(log),
            awaiting_lease: Vec::new(),
            deferred_adoptions: Vec::new(),
        }
    }

    /// Enqueues the first request, which creates the group in which this incarnation accepts new
    /// events.
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

    /// Whether this process holds the group's lease, so that no other process can own the group's
    /// events yet.
    pub(super) fn holds_lease(&self, group: GroupId) -> bool {
        self.raft.holds_lease(group)
    }

    /// The longest time in milliseconds for which a process may stall: the watchdog's timeout.
    pub(super) fn max_stall(&self) -> Ms {
        self.raft.max_stall()
    }

    pub(super) fn set_peer_reachable(&mut self, incarnation: Incarnation, reachable: bool) {
        self.roles.set_peer_reachable(incarnation, reachable);
    }

    pub(super) fn contains(&self, event: &EventId) -> bool {
        self.tables.values().any(|table| table.contains(&event.0))
    }

    /// Whether the table of another group contains the event.
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

    /// The event's entry in the group's table.
    pub(super) fn pending_event(&self, group: GroupId, event: &EventId) -> Option<PendingEvent> {
        self.tables.get(&group)?.pending_event(&event.0)
    }

    /// Completes an event only in one group's table.
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

    /// Whether a new event must wait for events of its order key in a group that has lost its
    /// owner.
    pub(super) fn blocks_order_key(&self, key: OrderKey) -> bool {
        self.raft.replicas().any(key.0, |group, owner, has_events| {
            self.roles.blocks_order_key(group, owner, has_events)
        })
    }

    /// Whether a new event with a body of `body_bytes` bytes can be recorded. The records of an
    /// iteration form one proposal for each group: admission stops before they would need two.
    pub(super) fn has_capacity_for(&self, body_bytes: usize) -> bool {
        let own = self.roles.own_group().and_then(|own| self.tables.get(&own));
        let Some(table) = own else {
            return false;
        };
        let bytes = table.unwritten_frames().len() + EventTable::max_growth(body_bytes);
        self.raft.accepts_events() && bytes < MAX_COMMAND_BYTES && !self.pipeline.is_full(bytes)
    }
}
