//! Storage of accepted events: a file of this process, or the Raft groups that this process leads.
//! Owned by the scheduler's host.

use std::io;

use plankhill_decisions::interface::{EventId, Ms, OrderKey, TargetId};
use plankhill_event_log::{AcceptedEvent, EventLog, EventTable, Outcome};
use plankhill_raft_groups::GroupId;

use super::replicated_log::ReplicatedLog;

pub(super) enum DurableLog {
    File(Box<EventLog>),
    Replicated(Box<ReplicatedLog>),
}

impl DurableLog {
    /// Applies a change to the tables that contain the event. There are two of them if an adopted
    /// table contained an event that was already pending here.
    fn update(&mut self, event: &EventId, change: impl Fn(&mut EventTable)) {
        match self {
            DurableLog::File(log) => change(log),
            DurableLog::Replicated(log) => {
                for table in log.tables_with_mut(event) {
                    change(table);
                }
            }
        }
    }

    pub(super) fn contains(&self, event: &EventId) -> bool {
        match self {
            DurableLog::File(log) => log.contains(&event.0),
            DurableLog::Replicated(log) => log.contains(event),
        }
    }

    /// The groups whose table contains the event; none without replication.
    pub(super) fn groups_of(&self, event: &EventId) -> Vec<GroupId> {
        match self {
            DurableLog::File(_) => Vec::new(),
            DurableLog::Replicated(log) => log.groups_with(event),
        }
    }

    /// Whether a new event with a body of `body_bytes` bytes can be recorded.
    pub(super) fn has_capacity_for(&self, body_bytes: usize) -> bool {
        match self {
            DurableLog::File(log) => log.has_capacity_for(body_bytes),
            DurableLog::Replicated(log) => log.has_capacity_for(body_bytes),
        }
    }

    /// Whether events of the order key that must be delivered first are pending at another owner.
    pub(super) fn blocks_order_key(&self, key: OrderKey) -> bool {
        match self {
            DurableLog::File(_) => false,
            DurableLog::Replicated(log) => log.blocks_order_key(key),
        }
    }

    pub(super) fn accept(&mut self, event: AcceptedEvent) {
        match self {
            DurableLog::File(log) => log.accept(event),
            DurableLog::Replicated(log) => {
                if let Some(table) = log.own_table_mut() {
                    table.accept(event);
                }
            }
        }
    }

    pub(super) fn record_attempt(&mut self, event: &EventId, at: Ms, zone: &str, timeout: Ms) {
        match self {
            DurableLog::File(log) => log.record_attempt(&event.0, at, zone),
            DurableLog::Replicated(_) => self.update(event, |table| {
                table.record_attempt_with_timeout(&event.0, at, zone, timeout);
            }),
        }
    }

    pub(super) fn record_attempt_not_executed(&mut self, event: &EventId) {
        self.update(event, |table| table.record_attempt_not_executed(&event.0));
    }

    pub(super) fn record_outcome(
        &mut self,
        event: &EventId,
        outcome: Outcome,
        retry_after: Option<Ms>,
    ) {
        self.update(event, |table| {
            table.record_outcome(&event.0, outcome, retry_after)
        });
    }

    pub(super) fn complete(&mut self, event: &EventId) {
        self.update(event, |table| table.complete(&event.0));
    }

    pub(super) fn record_warm_up(&mut self, target: &TargetId, since: Ms, usual: f64) {
        match self {
            DurableLog::File(log) => log.record_warm_up(&target.0, since, usual),
            DurableLog::Replicated(log) => {
                if let Some(table) = log.own_table_mut() {
                    table.record_warm_up(&target.0, since, usual);
                }
            }
        }
    }

    pub(super) fn remove_target(&mut self, target: &TargetId) {
        match self {
            DurableLog::File(log) => log.remove_target(&target.0),
            DurableLog::Replicated(log) => log.end_warm_up(target),
        }
    }

    /// Drops the records of targets that are not listed. The records of a replicated table are
    /// filtered when the table is adopted.
    pub(super) fn retain_targets(&mut self, is_listed: impl Fn(&str) -> bool) {
        if let DurableLog::File(log) = self {
            log.retain_targets(is_listed);
        }
    }

    /// The file's length in bytes; 0 with replication.
    pub(super) fn file_length(&self) -> u64 {
        match self {
            DurableLog::File(log) => log.file_length(),
            DurableLog::Replicated(_) => 0,
        }
    }

    /// Writes the records made since the last commit. With replication this does nothing: all
    /// records of an iteration are proposed together at its end.
    ///
    /// # Errors
    /// The file cannot be written.
    pub(super) fn commit(&mut self) -> io::Result<()> {
        match self {
            DurableLog::File(log) => log.commit(),
            DurableLog::Replicated(_) => Ok(()),
        }
    }
}
