//! Messages between the subscribers and the feeders of the control plane's tables. Agents and
//! stores subscribe to a controller, agents also to the home of their zone (the edge that sends
//! updates to the other edges of the zone), and a proxy to the agent of its machine.
//! [`crate::subscription`] implements the subscriber; the feeders are the controllers
//! (`plankhill-controller`) and the agents (`plankhill-agent`).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, Revision, StoreEpoch};
use crate::tables::{Edge, StoreMember, TablesUpdate};

/// The kind of subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subscriber {
    /// The agent of an edge machine that subscribes to a controller; the subscription registers the
    /// edge.
    Edge(Edge),
    /// A store that subscribes to a controller; the subscription registers the store.
    Store(StoreMember),
    /// A proxy that subscribes to the agent of its machine.
    Proxy,
    /// An agent that subscribes to the home of its zone.
    Peer,
}

/// A message from a subscriber to its feeder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromSubscriber {
    /// Starts the subscription; the first message on a connection.
    Subscribe {
        /// The kind of subscriber.
        subscriber: Subscriber,
        /// The revision of the subscriber's tables; 0 if the subscriber has none.
        held_revision: Revision,
    },
    /// Reports that the subscriber has applied updates up to this revision; also serves as the
    /// subscriber's heartbeat.
    Applied(Revision),
    /// Requests a snapshot, because the subscriber's tables lack changes that precede the feeder's
    /// updates.
    RequestSnapshot,
    /// Reports that the store has copied all its data of the next set of stores, in the view with
    /// this epoch.
    StoreSynced(StoreEpoch),
    /// Reports a peer that does not answer the probes of the sending agent.
    SuspectPeer(NodeId),
    /// Removes the registration of the edge at once, because the edge shuts down gracefully.
    Deregister,
    /// Reports that the edge is drained: no client is connected and no request is in flight. Sent
    /// by the proxy to its agent, and by the agent to a controller.
    Drained {
        /// The number of the operator's order to drain the edge.
        number: u64,
    },
    /// Requests heartbeats without updates, because the home of the zone sends the updates. The
    /// feeder sends a heartbeat at once whenever its revision increases.
    HeartbeatsOnly,
    /// Requests updates again after [`FromSubscriber::HeartbeatsOnly`].
    ResumeUpdates {
        /// The revision of the subscriber's tables.
        held_revision: Revision,
    },
}

/// A message from a feeder to its subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToSubscriber {
    /// An update of the tables; the first message on a new connection, unless the subscriber has
    /// the newest revision.
    Update(TablesUpdate),
    /// Sent after the first update, or instead of it, and then periodically. A subscriber whose
    /// controller is not current switches to another controller.
    Heartbeat {
        /// The sender's committed revision.
        revision: Revision,
        /// Whether the sender has recently confirmed that it does not lack any later revision.
        current: bool,
    },
    /// The addresses at which all controllers listen for subscribers, so that subscribers find
    /// controllers even if none of the seeds remains. Sent once on each connection, and when the
    /// addresses change.
    Controllers(Vec<SocketAddr>),
}
