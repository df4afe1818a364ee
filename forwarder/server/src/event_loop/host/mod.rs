//! The scheduler's host, which executes the scheduler's decisions. [`SchedulerHost`] implements
//! [`Effects`](plankhill_decisions::interface::Effects), through which the scheduler reports its
//! decisions, and applies the loop's inputs to the scheduler.
//!
//! Owned by [`EventLoop`](super::EventLoop), its only caller. Each submodule implements one concern
//! of the same struct.

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

/// Executes the scheduler's decisions.
pub(super) struct SchedulerHost {
    context: ServerContext,
    /// Start of the current iteration, on which decisions are based.
    now: Ms,
    /// When the scheduler runs next without an input.
    wake_up_at: Option<Ms>,
    log: DurableLog,
    retained: RetainedEvents,
    /// Events with an attempt in flight, including completed ones: an id is not accepted again
    /// before its attempt has ended.
    attempts_in_flight: HashSet<EventId>,
    /// Recently completed events; another submission of such an event is not a new event.
    recently_completed: RecentEvents,
    /// With replication: events that were delivered or abandoned here, and are not restored when a
    /// group that still contains them is adopted.
    resolved_locally: RecentEvents,
    notices: NoticeQueue,
    commands: CommandQueue,
    disabled_targets: DisabledTargetStore,
    accepted_types: AcceptedTypes,
    /// Channel to the process that this one took over from, while that process has calls in flight.
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
            resolved_locally: RecentEvents::default(),
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

    /// Sets the time on which decisions are based from here on.
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

    /// Clears a wake-up that is due, because this iteration handles it.
    pub(super) fn clear_due_wake_up(&mut self) {
        if self.wake_up_at.is_some_and(|at| at <= self.now) {
            self.wake_up_at = None;
        }
    }

    pub(super) fn is_replicated(&self) -> bool {
        matches!(self.log, DurableLog::Replicated(_))
    }

    /// Writes the recorded changes to disk. With replication they are proposed at the end of the
    /// iteration instead.
    ///
    /// # Errors
    /// The file cannot be written: no record made since the last commit is on disk.
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

    /// Sets whether clients' events can be accepted from now on, which also requires a target.
    pub(super) fn set_ready(&self, accepts_events: bool) {
        let has_targets = !self.commands.targets().is_empty();
        self.context.ready.set(accepts_events && has_targets);
    }

    pub(super) fn decision_config(&self) -> DecisionConfig {
        self.context.config.decisions.clone()
    }

    /// The longest Retry-After that is sent to clients.
    pub(super) fn max_retry_after(&self) -> Option<Ms> {
        self.context.config.decisions.max_retry_after
    }

    /// Responds to the client of an event that the event is accepted, once its log records are on
    /// disk.
    pub(super) fn confirm_accepted(&mut self, id: &EventId) {
        if let Some(response) = self.retained.take_response(id) {
            let _ = response.try_send(SubmitResponse::Accepted);
        }
    }

    /// Rejects an event whose log records could not be written.
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

    /// Completes the event; another submission with its id is rejected for a while.
    fn complete(&mut self, event: &EventId) {
        self.log.complete(event);
        self.recently_completed.add(event, self.now);
    }

    /// Cancels the attempts to the target that the predecessor has in flight and has not sent yet.
    fn cancel_at_predecessor(&self, target: &TargetId) {
        if let Some(predecessor) = &self.to_predecessor {
            let _ = predecessor.try_send((Message::CancelUnsent(target.clone()), None));
        }
    }

    /// Converts the host into the relay that a process runs after it has handed over.
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
