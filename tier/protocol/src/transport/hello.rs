//! The greeting by which both sides of a connection begin.

use serde::{Deserialize, Serialize};

use super::PROTOCOL_VERSION;
use crate::ids::NodeId;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Channel {
    /// Between members of the chain.
    Chain,
    /// Subscriptions to the control plane.
    Feed,
    /// Calls to a store.
    Store,
    /// Between agents.
    Peer,
    /// From a controller to the head of the chain: which machines and targets it has heartbeats of.
    Liveness,
}

/// The first frame on each side of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub version: u32,
    /// What the connection is for.
    pub channel: Channel,
    /// The sending machine.
    pub node: NodeId,
}

impl Hello {
    /// A greeting of this version.
    pub fn new(channel: Channel, node: NodeId) -> Self {
        Hello {
            version: PROTOCOL_VERSION,
            channel,
            node,
        }
    }
}
