//! The dispatcher as the proxy uses it, so that tests can put another in its place.

use plankhill_dispatch::{
    AttemptResult, Command, Dispatcher, HealthCheckResult, Ms, NewRequest, RequestKey, UpstreamLoad,
};
use plankhill_protocol::ids::InstanceId;

use crate::snapshot::Snapshot;

/// Decides which request goes to which target and when.
pub trait Decisions {
    /// The tables were replaced.
    fn tables_changed(&mut self, snapshot: &Snapshot);
    /// A request was read whole.
    fn request(&mut self, now: Ms, request: NewRequest);
    /// The client of a request that is held, not out, went away.
    fn withdrawn(&mut self, request: RequestKey);
    /// A call of a request to this target ended.
    fn ended(&mut self, now: Ms, request: RequestKey, target: &InstanceId, ended: AttemptResult);
    /// A health check was answered, or not.
    fn pinged(&mut self, target: &InstanceId, answer: HealthCheckResult);
    /// An answer told how full its target is.
    fn load_seen(&mut self, now: Ms, target: &InstanceId, load: UpstreamLoad);
    /// What is to be done now, in order.
    fn commands(&mut self, now: Ms) -> Vec<Command>;
}

impl Decisions for Dispatcher {
    fn tables_changed(&mut self, snapshot: &Snapshot) {
        Dispatcher::set_targets(self, &snapshot.tables.targets);
    }

    fn request(&mut self, now: Ms, request: NewRequest) {
        Dispatcher::enqueue(self, now, request);
    }

    fn withdrawn(&mut self, request: RequestKey) {
        Dispatcher::cancel(self, request);
    }

    fn ended(&mut self, now: Ms, request: RequestKey, target: &InstanceId, ended: AttemptResult) {
        Dispatcher::on_attempt_ended(self, now, request, target, ended);
    }

    fn pinged(&mut self, target: &InstanceId, answer: HealthCheckResult) {
        Dispatcher::on_health_check_ended(self, target, answer);
    }

    fn load_seen(&mut self, now: Ms, target: &InstanceId, load: UpstreamLoad) {
        Dispatcher::on_load_reported(self, now, target, load);
    }

    fn commands(&mut self, now: Ms) -> Vec<Command> {
        Dispatcher::poll_commands(self, now)
    }
}
