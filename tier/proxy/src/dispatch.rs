//! The dispatcher as the proxy uses it: a trait, so that tests can put another one in its place.

use plankhill_dispatch::{
    AttemptResult, Command, Dispatcher, HealthCheckResult, Ms, NewRequest, RequestKey, UpstreamLoad,
};
use plankhill_protocol::ids::InstanceId;

use crate::snapshot::Snapshot;

/// Decides which request is sent to which target and when. The methods are those of [`Dispatcher`].
pub trait Dispatch {
    /// The tables were replaced.
    fn on_tables_changed(&mut self, snapshot: &Snapshot);
    /// A request was read completely.
    fn enqueue(&mut self, now: Ms, request: NewRequest);
    /// The client of a request that is queued went away.
    fn cancel(&mut self, request: RequestKey);
    /// An attempt of a request at this target ended.
    fn on_attempt_ended(
        &mut self,
        now: Ms,
        request: RequestKey,
        target: &InstanceId,
        result: AttemptResult,
    );
    /// A health check was answered, or was not.
    fn on_health_check_ended(&mut self, target: &InstanceId, result: HealthCheckResult);
    /// A target reported its load in the head of an answer.
    fn on_load_reported(&mut self, now: Ms, target: &InstanceId, load: UpstreamLoad);
    /// What is to be done now, in order.
    fn poll_commands(&mut self, now: Ms) -> Vec<Command>;
}

impl Dispatch for Dispatcher {
    fn on_tables_changed(&mut self, snapshot: &Snapshot) {
        self.set_targets(&snapshot.tables.targets);
    }

    fn enqueue(&mut self, now: Ms, request: NewRequest) {
        Dispatcher::enqueue(self, now, request);
    }

    fn cancel(&mut self, request: RequestKey) {
        Dispatcher::cancel(self, request);
    }

    fn on_attempt_ended(
        &mut self,
        now: Ms,
        request: RequestKey,
        target: &InstanceId,
        result: AttemptResult,
    ) {
        Dispatcher::on_attempt_ended(self, now, request, target, result);
    }

    fn on_health_check_ended(&mut self, target: &InstanceId, result: HealthCheckResult) {
        Dispatcher::on_health_check_ended(self, target, result);
    }

    fn on_load_reported(&mut self, now: Ms, target: &InstanceId, load: UpstreamLoad) {
        Dispatcher::on_load_reported(self, now, target, load);
    }

    fn poll_commands(&mut self, now: Ms) -> Vec<Command> {
        Dispatcher::poll_commands(self, now)
    }
}
