//! The messages of subscriptions to the control plane: agents and stores subscribe to a controller,
//! agents to the home of their zone, a proxy to the agent of its machine. [`crate::subscription`]
//! is the subscriber's side.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, Revision, StoreEpoch};
use crate::tables::{Edge, StoreMember, TablesUpdate};

/// The kind of subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subscriber {
    /// The agent of an edge machine, at a controller; subscribing registers the edge.
    Edge(Edge),
    /// A store, at a controller; subscribing registers the store.
    Store(StoreMember),
    /// A proxy, at the agent of its machine.
    Proxy,
    /// An agent, at the home of its zone.
    Peer,
}

/// A message from a subscriber to its feeder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromSubscriber {
    /// The first message on a connection.
    Subscribe {
        /// The kind of subscriber.
        subscriber: Subscriber,
        /// The revision of the subscriber's tables; 0 if it has none.
        held_revision: Revision,
    },
    /// The subscriber has applied updates up to this revision; also its heartbeat.
    Applied(Revision),
    /// An update did not continue the subscriber's tables: the feeder has to send a snapshot.
    RequestSnapshot,
    /// A store has copied all its data of the next set of stores, in the view of this epoch.
    StoreSynced(StoreEpoch),
    /// A peer does not answer the health checks of the agent that sends this.
    SuspectPeer(NodeId),
    /// The edge shuts down in order: its registration ends at once.
    Deregister,
    /// The edge is drained: no client is connected and no request is in flight. Sent by the proxy
    /// to its agent, and by the agent to a controller.
    Drained {
        /// The number of the operator's order to drain the edge.
        number: u64,
    },
    /// The home of the zone sends the updates from now on: the feeder has to send heartbeats only,
    /// and one at once whenever its revision rises.
    HeartbeatsOnly,
    /// The feeder has to send updates again.
    ResumeUpdates {
        /// The revision of the subscriber's tables.
        held_revision: Revision,
    },
}

/// A message from a feeder to its subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToSubscriber {
    /// An update of the tables. On a new connection it comes first, unless the subscriber has the
    /// newest revision.
    Update(TablesUpdate),
    /// Sent after the first update, or instead of it, and then at intervals. A subscriber whose
    /// controller is not current goes to another one.
    Heartbeat {
        /// The sender's committed revision.
        revision: Revision,
        /// Whether the sender has confirmed lately that no later revision exists without it.
        current: bool,
    },
    /// The addresses at which all controllers listen for subscribers, also when no seed is left.
    /// Sent once on each connection, and when they change.
    Controllers(Vec<SocketAddr>),
}
