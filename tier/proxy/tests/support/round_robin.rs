//! A round-robin dispatcher that replaces the real one in tests.

use std::collections::{HashMap, VecDeque};

use plankhill_dispatch::retry::Attempts;
use plankhill_dispatch::{
    AttemptOutcome, AttemptResult, Command, HealthCheckResult, Ms, NewRequest, RequestKey,
    UpstreamLoad,
};
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::{Target, TargetState};

use plankhill_proxy::dispatch::Dispatch;
use plankhill_proxy::snapshot::Snapshot;

/// The `Retry-After` of rejected requests, in milliseconds.
pub const RETRY_AFTER: Ms = 200.0;

/// Sends each request at once to the next target of its service.
#[derive(Debug, Default)]
pub struct RoundRobinDispatcher {
    targets: Vec<Target>,
    requests: HashMap<RequestKey, (NewRequest, Attempts)>,
    next: usize,
    commands: VecDeque<Command>,
}

impl RoundRobinDispatcher {
    fn send(&mut self, key: RequestKey) {
        let Some((request, _)) = self.requests.get(&key) else {
            return;
        };
        let healthy = |target: &&Target| {
            target.service == request.service && target.state == TargetState::Healthy
        };
        let targets: Vec<&Target> = self.targets.iter().filter(healthy).collect();
        let at = self.next % targets.len().max(1);
        self.next += 1;
        match targets.get(at) {
            Some(target) => self.commands.push_back(Command::Send {
                request: key,
                target: target.id.clone(),
                address: target.address,
                deadline: request.deadline,
                priority: request.route_priority,
            }),
            None => self.commands.push_back(Command::Reject {
                request: key,
                retry_after: RETRY_AFTER,
            }),
        }
    }
}

impl Dispatch for RoundRobinDispatcher {
    fn on_tables_changed(&mut self, snapshot: &Snapshot) {
        self.targets.clone_from(&snapshot.tables.targets);
    }

    fn enqueue(&mut self, _now: Ms, request: NewRequest) {
        let key = request.key;
        self.requests.insert(key, (request, Attempts::default()));
        self.send(key);
    }

    fn cancel(&mut self, request: RequestKey) {
        self.requests.remove(&request);
    }

    fn on_attempt_ended(
        &mut self,
        _now: Ms,
        key: RequestKey,
        _target: &InstanceId,
        result: AttemptResult,
    ) {
        let Some((request, attempts)) = self.requests.get_mut(&key) else {
            return;
        };
        attempts.record(result.outcome);
        if result.outcome == AttemptOutcome::Delivered {
            self.requests.remove(&key);
        } else if attempts.allows_another(request.idempotency, request.max_attempts) {
            self.send(key);
        } else {
            let may_have_executed = attempts.may_have_executed();
            self.requests.remove(&key);
            self.commands.push_back(if may_have_executed {
                Command::Fail {
                    request: key,
                    last: result.outcome,
                }
            } else {
                Command::Reject {
                    request: key,
                    retry_after: RETRY_AFTER,
                }
            });
        }
    }

    fn on_health_check_ended(&mut self, _target: &InstanceId, _result: HealthCheckResult) {}

    fn on_load_reported(&mut self, _now: Ms, _target: &InstanceId, _load: UpstreamLoad) {}

    fn poll_commands(&mut self, _now: Ms) -> Vec<Command> {
        self.commands.drain(..).collect()
    }
}
