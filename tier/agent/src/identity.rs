//! How this process is known to the others.

use std::hash::{BuildHasher, Hasher, RandomState};

use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};
use plankhill_protocol::tables::Edge;
use plankhill_settings::Settings;

/// This life of this machine's agent. The machine has no disk: each start is a new life.
pub(crate) fn edge(settings: &Settings) -> Edge {
    Edge {
        node: NodeId::from(settings.node_id.as_str()),
        incarnation: Incarnation(RandomState::new().build_hasher().finish()),
        address: settings.agent_address(),
        zone: ZoneName::from(settings.zone.as_str()),
    }
}
