//! The scheduler's event loop. One task takes all inputs that have arrived, passes them to one
//! iteration of the scheduler and executes the scheduler's decisions.
//!
//! Called by `server`, which spawns [`EventLoop::run`] once. Other tasks reach the loop through its
//! mailbox of [`Input`]s. The loop owns the scheduler and, in [`SchedulerHost`], the event log, the
//! bodies of pending events and the mailboxes of the targets.
//!
//! Order of writes: acceptance and attempts of an event are recorded in the event log before its
//! client receives a response or its target a request. Without replication the log is committed
//! twice an iteration, after admission and after the decisions; with replication all effects of an
//! iteration wait until its log records are committed by their Raft groups.

pub mod accepted_types;
mod command_queue;
mod durable_log;
mod handover;
mod host;
mod notice_queue;
mod recent_events;
mod replicated_log;
mod retained_events;
#[cfg(test)]
mod tests;

use std::time::Instant;

use async_channel::{Receiver, Sender};
use plankhill_decisions::interface::{EventId, UnknownId};
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{EventLog, PendingEvent};
use plankhill_hot_restart::{ProcessState, SubmitResponse};
use serde_json::Value;
use slog::error;

use self::host::adoption::changes_leadership;
use self::host::SchedulerHost;
use crate::context::ServerContext;
use crate::disabled_targets::DisabledTargetStore;
use crate::hot_restart::transfer::Outgoing;
use crate::messages::{CompletionNotice, HandoverOutcome, HandoverRequest, Input, Submission};
use crate::stall_guard;
use crate::stream::until;

/// Capacity of the loop's mailbox; senders wait while the mailbox is full.
pub const MAX_MAILBOX_INPUTS: usize = 1024;

/// Whether the loop accepts new events.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Lifecycle {
    Serving,
    /// New events are rejected; the loop ends once nothing is pending.
    ShuttingDown,
}

/// The scheduler, its host and the state of the current iteration.
pub struct EventLoop {
    host: SchedulerHost,
    scheduler: Scheduler,
    lifecycle: Lifecycle,
    /// Events accepted in this iteration whose clients have no response yet.
    unanswered: Vec<EventId>,
    /// The handover request of a successor process, served at the end of the iteration.
    handover: Option<HandoverRequest>,
}

impl EventLoop {
    /// Creates a loop for an open event log. No decisions are made before [`EventLoop::restore`] or
    /// [`EventLoop::resume`].
    pub fn new(
        context: ServerContext,
        log: EventLog,
        disabled_targets: DisabledTargetStore,
        to_notifier: Sender<CompletionNotice>,
        to_event_loop: Sender<Input>,
    ) -> Self {
        let scheduler = Scheduler::new(context.config.decisions.clone(), context.clock.now());
        let host = SchedulerHost::new(context, log, disabled_targets, to_notifier, to_event_loop);
        EventLoop {
            host,
            scheduler,
            lifecycle: Lifecycle::Serving,
            unanswered: Vec::new(),
            handover: None,
        }
    }

    /// Serves inputs until shutdown was requested and nothing is pending or unacknowledged, the
    /// mailbox is closed, or a successor process has taken over.
    pub async fn run(mut self, mailbox: Receiver<Input>) {
        // Decisions are based on the time of the iteration's start: a timer that became due during
        // a stall does not take effect before all sockets have been polled again.
        let mut last_start = Instant::now();
        while !self.is_finished() {
            let first = match self.host.wake_up_at() {
                Some(at) => until(at, mailbox.recv()).await,
                None => Some(mailbox.recv().await),
            };
            let previous_start = std::mem::replace(&mut last_start, Instant::now());
            self.host.start_iteration(last_start);
            if last_start - previous_start > stall_guard::MAX_GAP {
                stall_guard::poll_all_sockets().await;
            }
            let mut inputs = match first {
                None => Vec::new(),
                Some(Ok(first)) => vec![first],
                Some(Err(_)) => return,
            };
            while let Ok(next) = mailbox.try_recv() {
                inputs.push(next);
            }
            self.run_iteration(inputs);
            let Some(request) = self.handover.take() else {
                continue;
            };
            match self.pause_for_handover(request).await {
                HandoverOutcome::Resume => self.host.wake_up_now(),
                HandoverOutcome::Relay(to_successor, from_successor) => {
                    let relay = self.into_relay(to_successor, from_successor);
                    return relay.run(mailbox).await;
                }
                HandoverOutcome::Exit => return,
            }
        }
    }

    fn is_finished(&self) -> bool {
        self.lifecycle == Lifecycle::ShuttingDown && self.host.is_idle()
    }

    /// Runs the first iteration of a process that opened the state folder itself: applies the
    /// endpoint list, then the target records and the pending events of an earlier process.
    pub fn restore(&mut self, endpoint_list: &Value, pending: Vec<PendingEvent>) {
        self.host.start_iteration_now();
        self.decide(|scheduler, host| host.restore(scheduler, endpoint_list, pending));
    }

    /// Runs the first iteration of a process that took over from another. The endpoint list may
    /// have changed. The scheduler's state was set by [`EventLoop::inherit`].
    pub fn resume(&mut self, endpoint_list: &Value) {
        self.host.start_iteration_now();
        self.decide(|scheduler, host| host.refresh_endpoints(scheduler, endpoint_list));
        // Timers may have become due during the handover.
        self.host.wake_up_now();
    }

    /// Takes over the state of another process, which still has calls in flight and is reached
    /// through `to_predecessor`.
    pub fn inherit(
        &mut self,
        scheduler: Scheduler,
        state: ProcessState,
        pending: Vec<PendingEvent>,
        to_predecessor: Sender<Outgoing>,
    ) {
        self.scheduler = scheduler.resume(self.host.decision_config());
        self.host.inherit(state, pending, to_predecessor);
    }

    fn run_iteration(&mut self, inputs: Vec<Input>) {
        let inputs = self.apply_leadership_changes(inputs);
        if inputs
            .iter()
            .any(|input| matches!(input, Input::ShutdownRequested))
        {
            self.lifecycle = Lifecycle::ShuttingDown;
        }
        let mut admitted = self.admit(inputs);
        if let Err(error) = self.host.commit_log() {
            // An event that is not on disk is not accepted.
            error!(self.host.logger(), "event log cannot be written"; "error" => %error);
            admitted.retain(|input| !matches!(input, Input::Submitted(_)));
            for id in self.unanswered.drain(..) {
                self.host.reject_unlogged(&id);
            }
        }
        self.decide(|scheduler, host| {
            for input in admitted {
                host.apply(scheduler, input);
            }
        });
        for id in std::mem::take(&mut self.unanswered) {
            self.host.confirm_accepted(&id);
        }
    }

    /// If a group event may change which groups this process leads or which instances it reaches,
    /// runs a separate iteration for all group events first, because the admission of new events
    /// depends on both. Returns the other inputs.
    fn apply_leadership_changes(&mut self, inputs: Vec<Input>) -> Vec<Input> {
        if !inputs.iter().any(changes_leadership) {
            return inputs;
        }
        let (group_events, others): (Vec<Input>, Vec<Input>) = inputs
            .into_iter()
            .partition(|input| matches!(input, Input::GroupEvent(_)));
        self.decide(|scheduler, host| {
            for input in group_events {
                host.apply(scheduler, input);
            }
        });
        others
    }

    /// Records new events in the log and rejects those that cannot be accepted. Returns the inputs
    /// for the scheduler.
    fn admit(&mut self, inputs: Vec<Input>) -> Vec<Input> {
        let mut admitted = Vec::with_capacity(inputs.len());
        for input in inputs {
            match input {
                Input::HandOver(request) => {
                    // A process that is shutting down hands nothing over: its state folder is
                    // released soon.
                    self.handover = match self.lifecycle {
                        Lifecycle::Serving => Some(request),
                        Lifecycle::ShuttingDown => None,
                    };
                }
                Input::Submitted(submission) => {
                    if self.accept(&submission) {
                        self.unanswered.push(submission.event.id.clone());
                        admitted.push(Input::Submitted(submission));
                    } else {
                        self.reject(&submission);
                    }
                }
                other => admitted.push(other),
            }
        }
        admitted
    }

    fn accept(&mut self, submission: &Submission) -> bool {
        self.lifecycle == Lifecycle::Serving
            && self.scheduler.has_destination(submission.event.destination)
            && self.host.accept(submission)
    }

    fn reject(&self, submission: &Submission) {
        let retry_after = match self.lifecycle {
            Lifecycle::Serving => self.host.max_retry_after(),
            Lifecycle::ShuttingDown => None,
        };
        let _ = submission
            .response
            .try_send(SubmitResponse::Rejected(retry_after));
    }

    /// Runs one iteration of the scheduler and executes its effects.
    fn decide(&mut self, apply_inputs: impl FnOnce(&mut Scheduler, &mut SchedulerHost)) {
        self.host.clear_due_wake_up();
        let apply_inputs = |scheduler: &mut Scheduler, host: &mut SchedulerHost| {
            apply_inputs(scheduler, host);
            Ok::<(), UnknownId>(())
        };
        let now = self.host.now();
        let _ = self
            .scheduler
            .run_iteration(now, apply_inputs, &mut self.host);
        let serving = self.lifecycle == Lifecycle::Serving;
        if self.host.is_replicated() {
            // No effect is sent before its log records are committed.
            self.host
                .stage_effects(std::mem::take(&mut self.unanswered));
            self.host.release_committed();
            self.host.set_ready(serving);
            return;
        }
        let committed = self.host.commit_log();
        if let Err(error) = &committed {
            // An attempt that is not on disk is not sent, because a restarted process needs its
            // record.
            error!(self.host.logger(), "event log cannot be written"; "error" => %error);
            self.host.fail_queued_commands();
        }
        self.host.set_ready(committed.is_ok() && serving);
        self.host.send_effects();
    }
}
