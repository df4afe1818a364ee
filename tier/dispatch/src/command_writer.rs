//! Carries out the scheduler's decisions of one iteration: changes the dispatcher's state and
//! writes the commands for the proxy. Created by [`crate::Dispatcher::poll_commands`] for one
//! iteration.

use plankhill_decisions::interface::{Effects, EventId, Ms, TargetId};

use crate::admission;
use crate::command::Command;
use crate::dispatch_state::DispatchState;
use crate::pending_requests::request_key;
use crate::prefix_chain::PrefixChain;
use crate::request::RequestKey;
use crate::rng::Rng;
use crate::target_selection::select_cheapest;
use crate::targets::{KnownTarget, Targets};

/// Added to wake-up times, so that a rounding error never makes a wake-up early.
const WAKE_UP_MARGIN: Ms = 0.01;

/// Writes the commands of one iteration.
pub(crate) struct CommandWriter<'a> {
    now: Ms,
    state: &'a mut DispatchState,
    commands: Vec<Command>,
    /// The time of the next iteration that the scheduler requested.
    next_iteration_at: Option<Ms>,
}

/// The result of one iteration.
pub(crate) struct WrittenCommands {
    pub(crate) commands: Vec<Command>,
    pub(crate) next_iteration_at: Option<Ms>,
}

impl<'a> CommandWriter<'a> {
    /// Creates the writer of one iteration; `next_iteration_at` is the time that the scheduler
    /// requested before.
    pub(crate) fn new(
        now: Ms,
        state: &'a mut DispatchState,
        next_iteration_at: Option<Ms>,
    ) -> Self {
        CommandWriter {
            now,
            state,
            commands: Vec::new(),
            next_iteration_at,
        }
    }

    pub(crate) fn finish(self) -> WrittenCommands {
        WrittenCommands {
            commands: self.commands,
            next_iteration_at: self.next_iteration_at,
        }
    }

    /// Removes and returns one request whose queue timeout has expired.
    pub(crate) fn pop_expired(&mut self) -> Option<RequestKey> {
        self.state.queue_timeouts.pop_expired(self.now)
    }

    /// Rejects or fails a request that must no longer be sent, unless the request is already
    /// complete.
    pub(crate) fn reject_or_fail(&mut self, key: RequestKey) {
        self.state.queue_timeouts.remove(key);
        let Some(request) = self.state.requests.get_mut(key) else {
            return;
        };
        if !request.complete() {
            return;
        }
        let command = if request.may_have_executed() {
            Command::Fail {
                request: key,
                last: request.last_outcome(),
            }
        } else {
            let random = self.state.rng.uniform();
            let opens_at = self.state.targets.opens_at(request.service, self.now);
            let retry_after =
                admission::retry_after(self.now, opens_at, request.latency_target, random);
            Command::Reject {
                request: key,
                retry_after,
            }
        };
        self.commands.push(command);
        self.state.requests.remove_if_complete(key);
    }

    fn reject_or_fail_event(&mut self, event: &EventId) {
        if let Some(key) = request_key(event) {
            self.reject_or_fail(key);
        }
    }
}

impl Effects for CommandWriter<'_> {
    fn select_target(
        &mut self,
        event: &EventId,
        open: &mut dyn Iterator<Item = &TargetId>,
    ) -> Option<usize> {
        let key = request_key(event)?;
        let DispatchState {
            requests,
            targets,
            allocators,
            rng,
            ..
        } = &mut *self.state;
        let targets: &Targets = targets;
        let request = requests.get_mut(key)?;
        let open: Vec<&KnownTarget> = open.map(|id| targets.get(id)).collect::<Option<_>>()?;
        if request.prompt.is_empty() {
            return select_without_prompt(self.now, &request.prompt, &open, rng);
        }
        let allocator = allocators.entry(request.service).or_default();
        let allocation = allocator.current(self.now, || targets.running_hashes(request.service));
        let quotas = match request.prompt.shared_prefix() {
            Some(prefix) => allocation.targets_of(prefix),
            None => &[],
        };
        let selection = select_cheapest(self.now, &request.prompt, &open, quotas)?;
        request.at_prefix_target = selection.has_shared_prefix;
        Some(selection.index)
    }

    fn send_attempt(&mut self, event: &EventId, target: &TargetId, _: Ms, _: Ms) {
        let Some(key) = request_key(event) else {
            return;
        };
        let Some(request) = self.state.requests.get_mut(key) else {
            return;
        };
        let Some(known) = self.state.targets.get_mut(target) else {
            return;
        };
        self.state.queue_timeouts.remove(key);
        request.on_sent();
        known.on_sent(self.now, &request.prompt, request.at_prefix_target);
        self.commands.push(Command::Send {
            request: key,
            target: known.id.clone(),
            address: known.address,
            deadline: request.attempt_deadline(self.now, known.load.response_time()),
            priority: request.priority,
        });
    }

    fn reject(&mut self, event: &EventId, _: Option<Ms>) -> bool {
        self.reject_or_fail_event(event);
        false
    }

    fn abandon(&mut self, event: &EventId) -> bool {
        self.reject_or_fail_event(event);
        false
    }

    fn health_check(&mut self, target: &TargetId) {
        if let Some(known) = self.state.targets.get(target) {
            let target = known.id.clone();
            self.commands.push(Command::HealthCheck {
                target,
                address: known.address,
            });
        }
    }

    fn close_idle_connections(&mut self, target: &TargetId) {
        if let Some(known) = self.state.targets.get(target) {
            self.commands.push(Command::CloseIdleConnections {
                target: known.id.clone(),
            });
        }
    }

    fn cancel_unsent(&mut self, target: &TargetId) {
        if let Some(known) = self.state.targets.get(target) {
            self.commands.push(Command::CancelUnsent {
                target: known.id.clone(),
            });
        }
    }

    /// Does nothing: warm-up is disabled inside the tier.
    fn record_warm_up(&mut self, _: &TargetId, _: Ms, _: f64) {}

    fn wake_after(&mut self, pause: Ms) {
        self.next_iteration_at = Some(self.now + pause + WAKE_UP_MARGIN);
    }
}

/// Selects the target of a request without a prompt. The order of the targets is rotated at random:
/// any of the targets with the same cost is suitable, and without rotation all proxies would select
/// the first one.
fn select_without_prompt(
    now: Ms,
    prompt: &PrefixChain,
    open: &[&KnownTarget],
    rng: &mut Rng,
) -> Option<usize> {
    let start = (rng.uniform() * open.len() as f64) as usize;
    let rotated: Vec<&KnownTarget> = open[start..]
        .iter()
        .chain(&open[..start])
        .copied()
        .collect();
    let selection = select_cheapest(now, prompt, &rotated, &[])?;
    Some((selection.index + start) % open.len())
}
