//! The scheduler's host: everything that the decisions are carried out with. [`SchedulerHost`] implements
//! [`Effects`](plankhill_decisions::interface::Effects), through which the scheduler writes its decisions, and applies
//! the loop's inputs to the scheduler.
//!
//! Owned by [`EventLoop`](super::EventLoop), which alone calls it. Each submodule is one concern of the same struct.

mod admission;
pub(super) mod adoption;
mod broadcast_outcomes;
mod effects;
mod endpoints;
mod inputs;
mod restore;
mod staging;

use std::cell::Cell;
use std::collections::HashSet;
use std::io;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use plankhill_decisions::interface::{DecisionConfig, EventId, Ms, TargetId};
use plankhill_event_log::EventLog;
use plankhill_hot_restart::{Message, SubmitResponse};
use slog::Logger;

use super::accepted_types::AcceptedTypes;
use super::command_queue::CommandQueue;
use super::durable_log::DurableLog;
use super::notice_queue::NoticeQueue;
use super::recent_events::RecentEvents;
use super::replicated_log::ReplicatedLog;
use super::retained_events::RetainedEvents;
use crate::context::ServerContext;
use crate::disabled_targets::DisabledTargetStore;
use crate::hot_restart::relay::Relay;
use crate::hot_restart::transfer::Outgoing;
use crate::messages::{CompletionNotice, Input};
use crate::target_table::TargetTable;
use crate::targets::TargetContext;

/// Carries out the scheduler's decisions.
pub(super) struct SchedulerHost {
    context: ServerContext,
    /// The time of the iteration: decisions are as of its start.
    now: Ms,
    /// When the scheduler is to run next without an input.
    wake_up_at: Option<Ms>,
    log: DurableLog,
    retained: RetainedEvents,
    /// Events with an attempt in flight, completed ones too: an id is not accepted again before its attempt has ended.
    attempts_in_flight: HashSet<EventId>,
    /// Events that completed lately: another submission of one is not a new event.
    recently_completed: RecentEvents,
    /// With replication: events that were delivered or abandoned here, which no adopted log brings back.
    resolved_here: RecentEvents,
    notices: NoticeQueue,
    commands: CommandQueue,
    disabled_targets: DisabledTargetStore,
    accepted_types: AcceptedTypes,
    /// The process that this one took over from, while it has calls in flight.
    to_predecessor: Option<Sender<Outgoing>>,
}

impl SchedulerHost {
    pub(super) fn new(
        context: ServerContext,
        log: EventLog,
        disabled_targets: DisabledTargetStore,
        to_notifier: Sender<CompletionNotice>,
        to_event_loop: Sender<Input>,
    ) -> Self {
        let now = context.clock.now();
        let target_context = TargetContext {
            server: context.clone(),
            to_event_loop,
            idle_connections: Rc::new(Cell::new(0)),
        };
        let log = match context.replication() {
            Some(raft) => DurableLog::Replicated(Box::new(ReplicatedLog::new(raft.clone(), log))),
            None => DurableLog::File(Box::new(log)),
        };
        SchedulerHost {
            context,
            now,
            wake_up_at: None,
            log,
            retained: RetainedEvents::default(),
            attempts_in_flight: HashSet::new(),
            recently_completed: RecentEvents::default(),
            resolved_here: RecentEvents::default(),
            notices: NoticeQueue::new(to_notifier),
            commands: CommandQueue::new(TargetTable::new(target_context)),
            disabled_targets,
            accepted_types: AcceptedTypes::default(),
            to_predecessor: None,
        }
    }

    pub(super) fn logger(&self) -> &Logger {
        &self.context.log
    }

    pub(super) fn now(&self) -> Ms {
        self.now
    }

    /// Decisions from here on are as of `start`.
    pub(super) fn start_iteration(&mut self, start: Instant) {
        self.now = self.context.clock.at(start);
    }

    pub(super) fn start_iteration_now(&mut self) {
        self.now = self.context.clock.now();
    }

    pub(super) fn wake_up_at(&self) -> Option<Instant> {
        self.wake_up_at.map(|at| self.context.clock.instant(at))
    }

    pub(super) fn wake_up_now(&mut self) {
        self.wake_up_at = Some(self.context.clock.now());
    }

    /// A wake-up that is due is served by this iteration.
    pub(super) fn clear_due_wake_up(&mut self) {
        if self.wake_up_at.is_some_and(|at| at <= self.now) {
            self.wake_up_at = None;
        }
    }

    pub(super) fn is_replicated(&self) -> bool {
        matches!(self.log, DurableLog::Replicated(_))
    }

    /// Writes what was recorded to the disk. With replication records leave with all of the iteration instead.
    ///
    /// # Errors
    /// The file's error: then none of what was recorded since the last commit is on the disk.
    pub(super) fn commit_log(&mut self) -> io::Result<()> {
        self.log.commit()
    }

    /// Length of the log's file in bytes; 0 with replication.
    pub(super) fn log_file_length(&self) -> u64 {
        self.log.file_length()
    }

    /// Whether nothing is pending, unacknowledged or waiting for its commit.
    pub(super) fn is_idle(&self) -> bool {
        let commits_pending = match &self.log {
            DurableLog::File(_) => false,
            DurableLog::Replicated(log) => log.has_uncommitted_iterations(),
        };
        self.retained.is_empty() && self.notices.unacknowledged() == 0 && !commits_pending
    }

    /// Whether clients' events can be accepted from now on.
    pub(super) fn set_ready(&self, accepts_events: bool) {
        let has_targets = !self.commands.targets().is_empty();
        self.context.ready.set(accepts_events && has_targets);
    }

    pub(super) fn decision_config(&self) -> DecisionConfig {
        self.context.config.decisions.clone()
    }

    /// The longest Retry-After that clients may be told.
    pub(super) fn max_retry_after(&self) -> Option<Ms> {
        self.context.config.decisions.max_retry_after
    }

    /// An event's log records are on the disk, and its client is told so.
    pub(super) fn confirm_accepted(&mut self, id: &EventId) {
        if let Some(response) = self.retained.take_response(id) {
            let _ = response.try_send(SubmitResponse::Accepted);
        }
    }

    /// An event's log records could not be written: it is not accepted.
    pub(super) fn reject_unlogged(&mut self, id: &EventId) {
        self.log.complete(id);
        let response = self
            .retained
            .remove(id)
            .and_then(|event| event.into_response());
        if let Some(response) = response {
            let _ = response.try_send(SubmitResponse::Rejected(None));
        }
    }

    /// The event is complete: another submission under its id is rejected for a while.
    fn complete(&mut self, event: &EventId) {
        self.log.complete(event);
        self.recently_completed.add(event, self.now);
    }

    /// Attempts that the predecessor has in flight to the target are cancelled there.
    fn cancel_at_predecessor(&self, target: &TargetId) {
        if let Some(predecessor) = &self.to_predecessor {
            let _ = predecessor.try_send((Message::CancelUnsent(target.clone()), None));
        }
    }

    /// What is left to do for a process that has handed over.
    pub(super) fn into_relay(
        self,
        to_successor: Sender<Outgoing>,
        from_successor: Receiver<Message>,
    ) -> Relay {
        self.context.ready.set(false);
        let (targets, health_checks_in_flight) = self.commands.into_parts();
        Relay {
            context: self.context,
            targets,
            attempts_in_flight: self.attempts_in_flight,
            health_checks_in_flight,
            to_successor,
            from_successor,
        }
    }
}
