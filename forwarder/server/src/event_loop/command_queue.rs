//! Commands to targets. The commands of the current iteration are queued until its log records are
//! written. Owned by the scheduler's host.

use std::collections::HashSet;

use plankhill_decisions::interface::TargetId;

use crate::messages::TargetCommand;
use crate::target_table::TargetTable;

/// A command and its target.
pub(super) struct QueuedCommand {
    pub(super) target: TargetId,
    pub(super) command: TargetCommand,
}

pub(super) struct CommandQueue {
    targets: TargetTable,
    queued: Vec<QueuedCommand>,
    health_checks_in_flight: HashSet<TargetId>,
}

impl CommandQueue {
    pub(super) fn new(targets: TargetTable) -> Self {
        CommandQueue {
            targets,
            queued: Vec::new(),
            health_checks_in_flight: HashSet::new(),
        }
    }

    pub(super) fn targets(&self) -> &TargetTable {
        &self.targets
    }

    pub(super) fn targets_mut(&mut self) -> &mut TargetTable {
        &mut self.targets
    }

    /// Queues a command until the log records of its iteration are written.
    pub(super) fn push(&mut self, target: TargetId, command: TargetCommand) {
        self.queued.push(QueuedCommand { target, command });
    }

    pub(super) fn take_queued(&mut self) -> Vec<QueuedCommand> {
        std::mem::take(&mut self.queued)
    }

    /// Sends all commands of the iteration.
    pub(super) fn send_queued(&mut self) {
        for QueuedCommand { target, command } in self.take_queued() {
            self.send_or_fail(target, command);
        }
    }

    /// Fails the queued attempts and health checks without sending them; their outcomes arrive in a
    /// later iteration.
    pub(super) fn fail_queued(&mut self) {
        for QueuedCommand { target, command } in self.take_queued() {
            self.targets.fail(target, command);
        }
    }

    /// Sends a command at once. An attempt or health check that cannot be sent ends as not sent.
    pub(super) fn send_or_fail(&mut self, target: TargetId, command: TargetCommand) {
        if let Err(command) = self.targets.send(&target, command) {
            self.targets.fail(target, command);
        }
    }

    /// Sends a command at once, ahead of the queued ones. A command that cannot be sent is dropped:
    /// neither an attempt nor a health check is sent in this way.
    pub(super) fn send_now(&mut self, target: &TargetId, command: TargetCommand) {
        let _ = self.targets.send(target, command);
    }

    pub(super) fn health_check_started(&mut self, target: &TargetId) {
        self.health_checks_in_flight.insert(target.clone());
    }

    pub(super) fn health_check_ended(&mut self, target: &TargetId) {
        self.health_checks_in_flight.remove(target);
    }

    pub(super) fn health_checks_in_flight(&self) -> &HashSet<TargetId> {
        &self.health_checks_in_flight
    }

    /// Sets the health checks that another process has in flight.
    pub(super) fn inherit_health_checks(&mut self, targets: Vec<TargetId>) {
        self.health_checks_in_flight = targets.into_iter().collect();
    }

    /// The targets and their health checks in flight, for the relay.
    pub(super) fn into_parts(self) -> (TargetTable, HashSet<TargetId>) {
        (self.targets, self.health_checks_in_flight)
    }
}
