//! Which operation a subscription calls for.

use plankhill_control::{ControlState, Operation};
use plankhill_protocol::feed::Subscriber;

use crate::liveness::MachineLife;

/// The life of a subscribed machine; `None` for those that agents serve.
pub fn life_of(subscriber: &Subscriber) -> Option<MachineLife> {
    match subscriber {
        Subscriber::Edge(edge) => {
            Some(MachineLife { node: edge.node.clone(), incarnation: edge.incarnation })
        }
        Subscriber::Store(member) => {
            Some(MachineLife { node: member.node.clone(), incarnation: member.incarnation })
        }
        Subscriber::Proxy | Subscriber::Peer => None,
    }
}

/// What registers a subscriber; `None` for those that agents serve.
pub fn registration_of(subscriber: &Subscriber, faults: u32) -> Option<Operation> {
    match subscriber {
        Subscriber::Edge(edge) => Some(Operation::SetEdge(edge.clone())),
        Subscriber::Store(member) => Some(Operation::RegisterStore { member: member.clone(), faults }),
        Subscriber::Proxy | Subscriber::Peer => None,
    }
}

/// Whether a subscriber still is to be registered. `registered` says that this connection has done so before:
/// then a later life of the machine that took its place is left alone.
pub fn should_register(state: &ControlState, subscriber: &Subscriber, registered: bool) -> bool {
    match subscriber {
        Subscriber::Edge(edge) => {
            let held = state.edges().get(&edge.node);
            let replaced = registered && held.is_some_and(|held| held.incarnation != edge.incarnation);
            !state.edges().is_known(edge) && !replaced
        }
        Subscriber::Store(member) => {
            let replaced = registered && state.stores().holds_data(&member.node);
            !state.stores().is_known(member) && !state.retirements().contains(&member.node) && !replaced
        }
        Subscriber::Proxy | Subscriber::Peer => false,
    }
}
