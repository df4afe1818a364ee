//! Subscriptions to the control plane: agents and stores with a controller, agents with the home of a
//! service, a proxy with the agent of its machine.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, Revision, StoreEpoch};
use crate::tables::{Edge, StoreMember, TablesUpdate};

/// Who subscribes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subscriber {
    /// The agent of an edge machine; subscribing registers it.
    Edge(Edge),
    /// A store; subscribing registers it.
    Store(StoreMember),
    /// The proxy of the same machine, at its agent.
    Proxy,
    /// Another agent of the zone, at the zone's home.
    Peer,
}

/// From a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromSubscriber {
    /// The first message on a connection.
    Subscribe {
        /// Who it is.
        subscriber: Subscriber,
        /// The revision that it holds already; 0 for nothing.
        held_revision: Revision,
    },
    /// It has applied updates up to here; also sent as a heartbeat.
    Applied(Revision),
    /// An update did not fit: it wants a snapshot.
    RequestSnapshot,
    /// A store has copied all that belongs to it in the next set of this epoch.
    StoreSynced(StoreEpoch),
    /// An agent no longer hears a peer that it monitors.
    SuspectPeer(NodeId),
    /// An orderly end: the edge is to be forgotten at once.
    Deregister,
    /// This edge, taken out of service by the order of this number, is empty: no client is connected and nothing is
    /// under way. Said by the proxy to its agent, and by that to a controller.
    Drained {
        /// The order's number.
        number: u64,
    },
    /// The home of its zone sends it updates from now on. It wants heartbeats only, and one at once whenever the
    /// feeder's revision rises.
    HeartbeatsOnly,
    /// It wants updates again, beginning with this revision that it holds.
    ResumeUpdates {
        /// What it holds.
        held_revision: Revision,
    },
}

/// To a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToSubscriber {
    /// What brings it up to date. On a new connection it comes first, unless the subscriber holds the newest.
    Update(TablesUpdate),
    /// Sent after the first update (or instead of it), and then regularly. The sender's committed revision, and whether it knows that this is the newest. A subscriber
    /// whose controller is not current asks another one.
    Heartbeat {
        /// The sender's committed revision.
        revision: Revision,
        /// Whether the sender has confirmed lately that no later one exists without it.
        current: bool,
    },
    /// Where the controllers listen for subscribers, all of them, also when the seeds are gone: sent once on
    /// each connection, and when they change.
    Controllers(Vec<SocketAddr>),
}
