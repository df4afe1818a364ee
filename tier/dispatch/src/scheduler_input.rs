//! Inputs that are gathered between two iterations of the scheduler, in the order in which they
//! came.

use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DestinationId, EndpointState, Ms, OrderKey, TargetId,
    TrafficTypeId,
};
use plankhill_decisions::scheduler::Scheduler;

use crate::pending_requests::event_id;
use crate::request::RequestKey;
use crate::scheduler_config::SERVICE;
use crate::targets::EndpointChange;

/// One input of the scheduler.
#[derive(Debug)]
pub(crate) enum SchedulerInput {
    /// An endpoint list names a target anew, in another state, or no longer.
    EndpointChanged(EndpointChange),
    /// A request came.
    RequestArrived {
        key: RequestKey,
        service: DestinationId,
        traffic_type: TrafficTypeId,
        deadline: Ms,
        session: Option<OrderKey>,
    },
    /// A request is not to be sent any more.
    RequestWithdrawn(RequestKey),
    /// An attempt ended.
    AttemptEnded(RequestKey, AttemptReport),
    /// A health check ended.
    HealthCheckEnded(TargetId, AttemptOutcome),
}

impl SchedulerInput {
    /// Applies the input. An input about a request or target that the scheduler does not know is
    /// about one that was forgotten meanwhile: nothing is to be decided about it.
    pub(crate) fn apply(self, scheduler: &mut Scheduler) {
        match self {
            SchedulerInput::EndpointChanged(change) => apply_endpoint_change(change, scheduler),
            SchedulerInput::RequestArrived {
                key,
                service,
                traffic_type,
                deadline,
                session,
            } => {
                scheduler.accept_event(event_id(key), service, traffic_type, deadline, session);
            }
            SchedulerInput::RequestWithdrawn(key) => scheduler.withdraw_event(&event_id(key)),
            SchedulerInput::AttemptEnded(key, report) => {
                let _ = scheduler.on_attempt_ended(&event_id(key), report);
            }
            SchedulerInput::HealthCheckEnded(target, outcome) => {
                let _ = scheduler.on_health_check_ended(&target, outcome);
            }
        }
    }
}

fn apply_endpoint_change(change: EndpointChange, scheduler: &mut Scheduler) {
    let EndpointChange {
        target,
        service,
        zone,
        state,
    } = change;
    match state {
        EndpointState::Removed => scheduler.set_endpoint_state(&target, EndpointState::Removed),
        EndpointState::Running | EndpointState::Draining => {
            scheduler.on_endpoint_listed(target, service, SERVICE, zone, state);
        }
    }
}
