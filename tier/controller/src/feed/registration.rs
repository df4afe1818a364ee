//! Determines whether and how a subscriber is registered in the control state. Proxies and peers
//! are served by agents and are never registered.

use plankhill_control::{ControlState, Operation};
use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::ids::Incarnation;

use crate::liveness::MachineIncarnation;

/// Returns the machine incarnation of a subscriber; `None` for subscribers that are never
/// registered.
pub(super) fn machine_of(subscriber: &Subscriber) -> Option<MachineIncarnation> {
    match subscriber {
        Subscriber::Edge(edge) => Some(MachineIncarnation::new(&edge.node, edge.incarnation)),
        Subscriber::Store(member) => {
            Some(MachineIncarnation::new(&member.node, member.incarnation))
        }
        Subscriber::Proxy | Subscriber::Peer => None,
    }
}

/// Returns the operation that registers a subscriber; `None` for subscribers that are never
/// registered.
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

/// Returns the incarnations of the subscriber's machine in the control state, except the
/// subscriber's own.
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

/// Returns whether a subscriber must be registered. `former` lists the other incarnations of its
/// machine that were in the control state when it subscribed. An incarnation that was registered
/// after that has superseded the subscriber and is not replaced.
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
