//! Which operation a subscription calls for.

use plankhill_control::{ControlState, Operation};
use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::ids::Incarnation;

use crate::liveness::MachineLife;

/// The life of a subscribed machine; `None` for those that agents serve.
pub fn life_of(subscriber: &Subscriber) -> Option<MachineLife> {
    match subscriber {
        Subscriber::Edge(edge) => Some(MachineLife {
            node: edge.node.clone(),
            incarnation: edge.incarnation,
        }),
        Subscriber::Store(member) => Some(MachineLife {
            node: member.node.clone(),
            incarnation: member.incarnation,
        }),
        Subscriber::Proxy | Subscriber::Peer => None,
    }
}

/// What registers a subscriber; `None` for those that agents serve.
pub fn registration_of(subscriber: &Subscriber, faults: u32) -> Option<Operation> {
    match subscriber {
        Subscriber::Edge(edge) => Some(Operation::SetEdge(edge.clone())),
        Subscriber::Store(member) => Some(Operation::RegisterStore {
            member: member.clone(),
            faults,
        }),
        Subscriber::Proxy | Subscriber::Peer => None,
    }
}

/// Other lives of the subscriber's machine that the control state knows.
pub fn other_lives(state: &ControlState, subscriber: &Subscriber) -> Vec<Incarnation> {
    let mut lives: Vec<Incarnation> = match subscriber {
        Subscriber::Edge(edge) => state
            .edges()
            .get(&edge.node)
            .iter()
            .map(|held| held.incarnation)
            .collect(),
        Subscriber::Store(member) => state.stores().lives_of(&member.node).collect(),
        Subscriber::Proxy | Subscriber::Peer => Vec::new(),
    };
    let own = life_of(subscriber).map(|life| life.incarnation);
    lives.retain(|life| Some(*life) != own);
    lives
}

/// Whether a subscriber still is to be registered. `former` are the other lives of its machine that were known
/// when it subscribed: a life that came later took its place, and is left alone.
pub fn should_register(
    state: &ControlState,
    subscriber: &Subscriber,
    former: &[Incarnation],
) -> bool {
    let known = match subscriber {
        Subscriber::Edge(edge) => state.edges().is_known(edge),
        Subscriber::Store(member) => {
            state.stores().is_known(member) || state.retirements().contains(&member.node)
        }
        Subscriber::Proxy | Subscriber::Peer => true,
    };
    !known
        && other_lives(state, subscriber)
            .iter()
            .all(|life| former.contains(life))
}
