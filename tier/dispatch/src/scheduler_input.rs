//! Inputs that are collected between two iterations of the scheduler, in order of arrival.

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
    /// A target was added to the endpoint list, changed its state, or was removed from the list.
    EndpointChanged(EndpointChange),
    /// A request arrived.
    RequestArrived {
        key: RequestKey,
        service: DestinationId,
        traffic_type: TrafficTypeId,
        deadline: Ms,
        session: Option<OrderKey>,
    },
    /// A request must no longer be sent.
    RequestWithdrawn(RequestKey),
    /// An attempt ended.
    AttemptEnded(RequestKey, AttemptReport),
    /// A health check ended.
    HealthCheckEnded(TargetId, AttemptOutcome),
}

impl SchedulerInput {
    /// Applies the input. An input for a request or target that is unknown to the scheduler is
    /// ignored: the request or target was removed in the meantime.
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
