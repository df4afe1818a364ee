//! What is gathered between two rounds of the decision module, in the order in which it came.

use plankhill_decisions::decide::Forwarder;
use plankhill_decisions::interface::{
    DestinationId, Ended, Fate, Listing, Ms, OrderKey, TargetId, TrafficId,
};

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
        traffic: TrafficId,
        deadline: Ms,
        session: Option<OrderKey>,
    },
    Withdrawn(RequestKey),
    SendEnded(RequestKey, Ended),
    PingEnded(TargetId, Fate),
}

impl Input {
    /// Hands it to the module. What names something that the module does not know was forgotten meanwhile:
    /// nothing is to be decided about it.
    pub(crate) fn hand_over(self, module: &mut Forwarder) {
        match self {
            Input::Relisted(change) if change.listing == Listing::Gone => {
                module.relisted(&change.target, Listing::Gone);
            }
            Input::Relisted(Relisted {
                target,
                service,
                zone,
                listing,
            }) => {
                module.listed(target, service, SERVICE, zone, listing);
            }
            Input::Taken {
                key,
                service,
                traffic,
                deadline,
                session,
            } => {
                module.taken(event_id(key), service, traffic, deadline, session);
            }
            Input::Withdrawn(key) => module.withdrawn(&event_id(key)),
            Input::SendEnded(key, ended) => {
                let _ = module.send_ended(&event_id(key), ended);
            }
            Input::PingEnded(target, fate) => {
                let _ = module.ping_ended(&target, fate);
            }
        }
    }
}
