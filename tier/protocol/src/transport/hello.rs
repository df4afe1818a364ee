//! The greeting that both sides send at the start of a connection.

use serde::{Deserialize, Serialize};

use super::PROTOCOL_VERSION;
use crate::ids::NodeId;

/// The purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Channel {
    /// Messages between members of the chain.
    Chain,
    /// Subscriptions to the control plane.
    Feed,
    /// Calls to a store.
    Store,
    /// Messages between agents.
    Peer,
    /// Reports from a controller to the head of the chain about the machines and targets whose
    /// heartbeats the controller receives.
    Liveness,
}

/// The greeting, which is the first frame in each direction of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub version: u32,
    /// The purpose of the connection.
    pub channel: Channel,
    /// The sending machine.
    pub node: NodeId,
}

impl Hello {
    /// Creates a greeting with this build's [`PROTOCOL_VERSION`].
    pub fn new(channel: Channel, node: NodeId) -> Self {
        Hello {
            version: PROTOCOL_VERSION,
            channel,
            node,
        }
    }
}
