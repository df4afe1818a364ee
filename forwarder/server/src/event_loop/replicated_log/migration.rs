//! Migration of the log that an earlier process without replication left in the state folder: its
//! events are proposed to this process's own group, and the file is cleared only once all of them
//! are committed.

use std::io;

use plankhill_event_log::{EventLog, PendingEvent};
use plankhill_raft_groups::GroupId;

use super::{IterationEffects, ProposalId, ReplicatedLog};

/// The log of an earlier process without replication, kept until the own group has committed its
/// events.
pub(super) struct Migration {
    log: EventLog,
    /// Proposals that are not committed yet.
    uncommitted: Vec<ProposalId>,
}

impl Migration {
    /// Creates the migration of a log; none if the log has no pending events.
    pub(super) fn from_log(log: EventLog) -> Option<Self> {
        if log.is_empty() {
            return None;
        }
        Some(Migration {
            log,
            uncommitted: Vec::new(),
        })
    }

    /// Drops the proposals to a lost group; the next own group gets new ones.
    pub(super) fn drop_proposals(&mut self, group: GroupId) {
        self.uncommitted.retain(|(of, _)| *of != group);
    }
}

impl ReplicatedLog {
    /// Events that an earlier process without replication left pending in the state folder, except
    /// those that are in the table of a led group.
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

    /// Proposes the state folder's log to the group, in separate proposals ahead of the
    /// iteration's.
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
