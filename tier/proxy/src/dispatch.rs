//! The proxy's interface to the dispatcher: a trait, so that tests can substitute another
//! implementation.

use plankhill_dispatch::{
    AttemptResult, Command, Dispatcher, HealthCheckResult, Ms, NewRequest, RequestKey, UpstreamLoad,
};
use plankhill_protocol::ids::InstanceId;

use crate::snapshot::Snapshot;

/// Decides which request is sent to which target and when. The methods are those of [`Dispatcher`].
pub trait Dispatch {
    /// Handles a replacement of the tables.
    fn on_tables_changed(&mut self, snapshot: &Snapshot);
    /// Queues a request that was read completely.
    fn enqueue(&mut self, now: Ms, request: NewRequest);
    /// Cancels a queued request whose client has disconnected.
    fn cancel(&mut self, request: RequestKey);
    /// Handles the end of an attempt of a request at this target.
    fn on_attempt_ended(
        &mut self,
        now: Ms,
        request: RequestKey,
        target: &InstanceId,
        result: AttemptResult,
    );
    /// Handles the result of a health check.
    fn on_health_check_ended(&mut self, target: &InstanceId, result: HealthCheckResult);
    /// Handles the load that a target reported in a response head.
    fn on_load_reported(&mut self, now: Ms, target: &InstanceId, load: UpstreamLoad);
    /// Returns the commands that are to be executed now, in order.
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
