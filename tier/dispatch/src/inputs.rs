//! What is gathered between two rounds of the decision module, in the order in which it came.

use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DestinationId, EndpointState, Ms, OrderKey, TargetId,
    TrafficTypeId,
};
use plankhill_decisions::scheduler::Scheduler;

use crate::interface::RequestKey;
use crate::module_terms::SERVICE;
use crate::requests::event_id;
use crate::targets::Relisted;

/// One thing that came in.
#[derive(Debug)]
pub(crate) enum Input {
    Relisted(Relisted),
    Taken {
        key: RequestKey,
        service: DestinationId,
        traffic: TrafficTypeId,
        deadline: Ms,
        session: Option<OrderKey>,
    },
    Withdrawn(RequestKey),
    SendEnded(RequestKey, AttemptReport),
    PingEnded(TargetId, AttemptOutcome),
}

impl Input {
    /// Hands it to the module. What names something that the module does not know was forgotten meanwhile:
    /// nothing is to be decided about it.
    pub(crate) fn hand_over(self, module: &mut Scheduler) {
        match self {
            Input::Relisted(change) if change.listing == EndpointState::Removed => {
                module.set_endpoint_state(&change.target, EndpointState::Removed);
            }
            Input::Relisted(Relisted {
                target,
                service,
                zone,
                listing,
            }) => {
                module.on_endpoint_listed(target, service, SERVICE, zone, listing);
            }
            Input::Taken {
                key,
                service,
                traffic,
                deadline,
                session,
            } => {
                module.accept_event(event_id(key), service, traffic, deadline, session);
            }
            Input::Withdrawn(key) => module.withdraw_event(&event_id(key)),
            Input::SendEnded(key, ended) => {
                let _ = module.on_attempt_ended(&event_id(key), ended);
            }
            Input::PingEnded(target, fate) => {
                let _ = module.on_health_check_ended(&target, fate);
            }
        }
    }
}
