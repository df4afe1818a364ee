//! The dispatcher: collects the proxy's reports, runs one iteration of the scheduler on them, and
//! returns the resulting commands. Called only by the proxy's admission.

use std::convert::Infallible;

use plankhill_decisions::interface::{AttemptOutcome, AttemptReport, Ms, OrderKey};
use plankhill_decisions::scheduler::Scheduler;
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::Target;

use crate::admission::{self, QueueReason};
use crate::allocation::Allocator;
use crate::attempt::{AttemptResult, UpstreamLoad};
use crate::command::{Command, HealthCheckResult};
use crate::command_writer::CommandWriter;
use crate::dispatch_state::DispatchState;
use crate::pending_requests::{NextStep, PendingRequest};
use crate::request::{NewRequest, RequestKey};
use crate::retry::ExecutionState;
use crate::scheduler_config;
use crate::scheduler_input::SchedulerInput;
use crate::session_cooldown::{CooldownEstimate, SessionCooldowns};
use crate::settings::DispatchSettings;
use crate::targets::target_id;

/// Decides which request is sent next to which target.
///
/// Every request ends with one of: a delivered attempt, [`Command::Reject`], [`Command::Fail`], or
/// the proxy's own call of [`Dispatcher::cancel`]. Every [`Command::Send`] has to be followed by
/// one call of [`Dispatcher::on_attempt_ended`], also after a cancellation.
pub struct Dispatcher {
    settings: DispatchSettings,
    scheduler: Scheduler,
    /// Inputs for the scheduler's next iteration, in order of arrival.
    inputs: Vec<SchedulerInput>,
    state: DispatchState,
    cooldown_estimate: CooldownEstimate,
    session_cooldowns: SessionCooldowns,
    /// Requests that may not be sent again; the next iteration rejects or fails them.
    exhausted: Vec<RequestKey>,
    /// The time of the next iteration that the scheduler requested.
    next_iteration_at: Option<Ms>,
}

impl Dispatcher {
    /// Creates a dispatcher without targets.
    pub fn new(settings: DispatchSettings, now: Ms) -> Self {
        let cooldown_estimate = CooldownEstimate::default();
        let config = scheduler_config::decision_config(&settings, cooldown_estimate.value());
        let state = DispatchState::new(settings.seed);
        Dispatcher {
            settings,
            scheduler: Scheduler::new(config, now),
            inputs: Vec::new(),
            state,
            cooldown_estimate,
            session_cooldowns: SessionCooldowns::default(),
            exhausted: Vec::new(),
            next_iteration_at: None,
        }
    }

    /// Applies the endpoint list of new tables. Draining targets and targets that are no longer
    /// listed get no new requests; a new id at a known address inherits no state.
    pub fn set_targets(&mut self, targets: &[Target]) {
        let changes = self.state.targets.replace(&self.settings.zone, targets);
        if !changes.is_empty() {
            self.state
                .allocators
                .values_mut()
                .for_each(Allocator::invalidate);
        }
        self.inputs
            .extend(changes.into_iter().map(SchedulerInput::EndpointChanged));
    }

    /// Enqueues a request. Ignored if a request with the same key is pending.
    pub fn enqueue(&mut self, now: Ms, new: NewRequest) {
        let key = new.key;
        if self.state.requests.get(key).is_some() {
            return;
        }
        let priority = admission::priority(
            new.route_priority,
            new.program_time_left,
            new.latency_target,
        );
        let service = self.state.targets.service_id(&new.service);
        let queued_until = self.first_queue_deadline(now, &new);
        self.state.queue_timeouts.set(key, queued_until);
        let request = PendingRequest::new(&new, service, priority);
        if let Some(prefix) = request.prompt.shared_prefix() {
            self.state
                .allocators
                .entry(service)
                .or_default()
                .record(now, prefix);
        }
        self.state.requests.insert(key, request);
        self.inputs.push(SchedulerInput::RequestArrived {
            key,
            service,
            traffic_type: scheduler_config::traffic_type_of(new.idempotency, priority),
            deadline: new.deadline,
            session: new.session.map(OrderKey),
        });
    }

    /// The time until which a new request is queued. The timeout begins once the cool-down of the
    /// request's session is over.
    fn first_queue_deadline(&self, now: Ms, new: &NewRequest) -> Ms {
        let Some(session) = new.session else {
            let reason = QueueReason::FirstSend;
            return admission::queue_deadline(now, reason, new.latency_target, new.deadline);
        };
        let reason = if self.state.requests.has_session(session) {
            QueueReason::Session
        } else {
            QueueReason::FirstSend
        };
        let from = self.session_cooldowns.ready_at(now, session);
        admission::queue_deadline(from, reason, new.latency_target, new.deadline)
    }

    /// Cancels a request whose client has disconnected, or has received its response by other
    /// means: the request is no longer sent. The proxy has to end an attempt in flight itself.
    pub fn cancel(&mut self, key: RequestKey) {
        let Some(request) = self.state.requests.get_mut(key) else {
            return;
        };
        request.complete();
        self.state.queue_timeouts.remove(key);
        self.state.requests.remove_if_complete(key);
        self.inputs.push(SchedulerInput::RequestWithdrawn(key));
    }

    /// Records the load that a target reported in the head of a response that is not complete yet.
    pub fn on_load_reported(&mut self, now: Ms, target: &InstanceId, load: UpstreamLoad) {
        self.state.targets.on_load_reported(now, target, load);
    }

    /// Records the end of an attempt. Ignored if no attempt of the request is in flight.
    pub fn on_attempt_ended(
        &mut self,
        now: Ms,
        key: RequestKey,
        target: &InstanceId,
        result: AttemptResult,
    ) {
        let Some(request) = self.state.requests.get_mut(key) else {
            return;
        };
        if !request.is_in_flight() {
            return;
        }
        let next_step = request.on_attempt_ended(now, result.outcome);
        if let Some(session) = request.session {
            self.begin_cooldown(now, session, result.outcome);
        }
        let retry_after = self.record_at_target(now, target, &result);
        let event_complete = match next_step {
            NextStep::Complete => true,
            NextStep::GiveUp => {
                self.exhausted.push(key);
                true
            }
            NextStep::QueueUntil(until) => {
                self.state.queue_timeouts.set(key, until);
                false
            }
        };
        let report = AttemptReport {
            elapsed: result.elapsed,
            event_complete,
            retry_after,
            ..AttemptReport::from_outcome(result.outcome)
        };
        self.inputs.push(SchedulerInput::AttemptEnded(key, report));
        self.state.requests.remove_if_complete(key);
    }

    /// Delays the session's next request after an attempt that may still be executed.
    fn begin_cooldown(&mut self, now: Ms, session: u64, outcome: AttemptOutcome) {
        if ExecutionState::from_outcome(outcome) == ExecutionState::MayHaveExecuted {
            let until = now + self.cooldown_estimate.value();
            self.session_cooldowns.begin(now, session, until);
        }
    }

    /// Records the result of an attempt at its target; returns the backoff during which the target
    /// gets no requests, 0 for none.
    fn record_at_target(&mut self, now: Ms, target: &InstanceId, result: &AttemptResult) -> Ms {
        if let Some(pause) = result.longest_pause {
            if let Some(cooldown) = self.cooldown_estimate.record_pause(pause) {
                self.reconfigure(cooldown);
            }
        }
        match self.state.targets.get_mut(&target_id(target)) {
            Some(known) => known.on_attempt_ended(now, result),
            None => 0.0,
        }
    }

    /// Reconfigures the scheduler with a new cool-down of sessions.
    fn reconfigure(&mut self, key_cooldown: Ms) {
        let scheduler = std::mem::take(&mut self.scheduler);
        let config = scheduler_config::decision_config(&self.settings, key_cooldown);
        self.scheduler = scheduler.resume(config);
    }

    /// Records the result of a health check.
    pub fn on_health_check_ended(&mut self, target: &InstanceId, result: HealthCheckResult) {
        let outcome = match result {
            HealthCheckResult::Healthy => AttemptOutcome::Delivered,
            HealthCheckResult::Unhealthy => AttemptOutcome::Error,
        };
        self.inputs
            .push(SchedulerInput::HealthCheckEnded(target_id(target), outcome));
    }

    /// Runs one iteration of the scheduler and returns the commands to the proxy. The proxy has to
    /// call it after every report, and at the time of the last [`Command::WakeAt`].
    pub fn poll_commands(&mut self, now: Ms) -> Vec<Command> {
        let inputs = std::mem::take(&mut self.inputs);
        let exhausted = std::mem::take(&mut self.exhausted);
        let pending_iteration = self.next_iteration_at.filter(|at| *at > now);
        let mut writer = CommandWriter::new(now, &mut self.state, pending_iteration);
        for key in exhausted {
            writer.reject_or_fail(key);
        }
        let apply_inputs = |scheduler: &mut Scheduler, writer: &mut CommandWriter| {
            for input in inputs {
                input.apply(scheduler);
            }
            while let Some(key) = writer.pop_expired() {
                writer.reject_or_fail(key);
                SchedulerInput::RequestWithdrawn(key).apply(scheduler);
            }
            Ok::<(), Infallible>(())
        };
        let Ok(()) = self.scheduler.run_iteration(now, apply_inputs, &mut writer);
        let written = writer.finish();
        self.next_iteration_at = written.next_iteration_at;
        self.state.targets.drop_removed();
        let mut commands = written.commands;
        if let Some(at) = earliest(
            self.next_iteration_at,
            self.state.queue_timeouts.next_expiry(),
        ) {
            commands.push(Command::WakeAt(at));
        }
        commands
    }

    /// Requests that are queued or in flight.
    pub fn len(&self) -> usize {
        self.state.requests.len()
    }

    /// Whether no request is queued or in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn earliest(one: Option<Ms>, other: Option<Ms>) -> Option<Ms> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (some, None) | (None, some) => some,
    }
}
