//! Which operation a subscription calls for. Proxies and peers are served by agents and are never
//! registered.

use plankhill_control::{ControlState, Operation};
use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::ids::Incarnation;

use crate::liveness::MachineIncarnation;

/// The incarnation of a subscribed machine; `None` for subscribers that are not registered.
pub(super) fn machine_of(subscriber: &Subscriber) -> Option<MachineIncarnation> {
    match subscriber {
        Subscriber::Edge(edge) => Some(MachineIncarnation::new(&edge.node, edge.incarnation)),
        Subscriber::Store(member) => {
            Some(MachineIncarnation::new(&member.node, member.incarnation))
        }
        Subscriber::Proxy | Subscriber::Peer => None,
    }
}

/// The operation that registers a subscriber; `None` for subscribers that are not registered.
pub(super) fn registration_of(subscriber: &Subscriber, tolerated_faults: u32) -> Option<Operation> {
    match subscriber {
        Subscriber::Edge(edge) => Some(Operation::RegisterEdge(edge.clone())),
        Subscriber::Store(member) => Some(Operation::RegisterStore {
            member: member.clone(),
            tolerated_faults,
        }),
        Subscriber::Proxy | Subscriber::Peer => None,
    }
}

/// Other incarnations of the subscriber's machine that the control state knows.
pub fn other_incarnations(state: &ControlState, subscriber: &Subscriber) -> Vec<Incarnation> {
    let known: Vec<Incarnation> = match subscriber {
        Subscriber::Edge(edge) => state
            .edges()
            .get(&edge.node)
            .iter()
            .map(|registered| registered.incarnation)
            .collect(),
        Subscriber::Store(member) => state.stores().incarnations_of(&member.node).collect(),
        Subscriber::Proxy | Subscriber::Peer => Vec::new(),
    };
    let own = machine_of(subscriber).map(|machine| machine.incarnation);
    known
        .into_iter()
        .filter(|incarnation| Some(*incarnation) != own)
        .collect()
}

/// Whether a subscriber is to be registered now. `former` are the other incarnations of its machine
/// that were known when it subscribed: an incarnation that came later superseded the subscriber,
/// and is left alone.
pub fn needs_registration(
    state: &ControlState,
    subscriber: &Subscriber,
    former: &[Incarnation],
) -> bool {
    let is_registered = match subscriber {
        Subscriber::Edge(edge) => state.edges().is_registered(edge),
        Subscriber::Store(member) => {
            state.stores().is_registered(member) || state.retirements().contains(&member.node)
        }
        Subscriber::Proxy | Subscriber::Peer => true,
    };
    if is_registered {
        return false;
    }
    other_incarnations(state, subscriber)
        .iter()
        .all(|incarnation| former.contains(incarnation))
}
