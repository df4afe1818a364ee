//! Migration of the log that an earlier process without replication left in the state folder: its events are proposed
//! to the first group that this process leads, and the file is cleared only once all of them are committed.

use std::io;

use plankhill_event_log::{EventLog, PendingEvent};
use plankhill_raft_groups::GroupId;

use super::{IterationEffects, ProposalId, ReplicatedLog};

/// The log of an earlier process without replication, until its events are committed by the own group.
pub(super) struct Migration {
    log: EventLog,
    /// Proposals that are not decided yet.
    uncommitted: Vec<ProposalId>,
}

impl Migration {
    /// None for a log without pending events.
    pub(super) fn of(log: EventLog) -> Option<Self> {
        if log.is_empty() {
            return None;
        }
        Some(Migration {
            log,
            uncommitted: Vec::new(),
        })
    }

    /// Proposals to a group that is lost are made anew to the next one.
    pub(super) fn forget_proposals(&mut self, group: GroupId) {
        self.uncommitted.retain(|(of, _)| *of != group);
    }
}

impl ReplicatedLog {
    /// Events that an earlier process without replication left pending in the state folder, but for those that a led
    /// group has.
    pub(in crate::event_loop) fn unmigrated_events(&self) -> Vec<PendingEvent> {
        let Some(migration) = &self.migration else {
            return Vec::new();
        };
        let mut pending = migration.log.pending_events();
        pending.retain(|pending| {
            !self
                .tables
                .values()
                .any(|table| table.contains(&pending.event.id))
        });
        pending
    }

    /// Proposes the state folder's log to the group, as proposals of their own ahead of the iteration's.
    pub(in crate::event_loop) fn propose_migration(&mut self, group: GroupId) {
        let Some(migration) = &mut self.migration else {
            return;
        };
        let mut frames = Vec::new();
        migration.log.write_frames(&mut frames);
        if let Some(table) = self.tables.get_mut(&group) {
            table.apply_frames(&frames);
        }
        let numbers = self.proposals.propose_split(group, &frames);
        migration.uncommitted.clear();
        migration
            .uncommitted
            .extend(numbers.into_iter().map(|number| (group, number)));
        let no_effects = IterationEffects {
            responses: Vec::new(),
            commands: Vec::new(),
            notices: Vec::new(),
        };
        self.pipeline.push(
            migration.uncommitted.iter().copied(),
            frames.len(),
            no_effects,
        );
    }

    /// Clears the file once the last of its proposals is committed.
    ///
    /// # Errors
    /// The file cannot be cleared.
    pub(super) fn migration_committed(&mut self, proposal: ProposalId) -> io::Result<()> {
        let Some(migration) = &mut self.migration else {
            return Ok(());
        };
        let before = migration.uncommitted.len();
        migration
            .uncommitted
            .retain(|uncommitted| *uncommitted != proposal);
        if before == 0 || !migration.uncommitted.is_empty() {
            return Ok(());
        }
        let cleared = migration.log.clear();
        self.migration = None;
        cleared
    }
}
