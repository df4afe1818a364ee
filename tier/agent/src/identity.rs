//! How this process is registered with the controllers.

use std::hash::{BuildHasher, Hasher, RandomState};

use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};
use plankhill_protocol::tables::Edge;
use plankhill_settings::Settings;

/// This machine as an edge. The machine has no disk: each start is a new incarnation.
pub(crate) fn edge(settings: &Settings) -> Edge {
    Edge {
        node: NodeId::from(settings.node_id.as_str()),
        incarnation: Incarnation(RandomState::new().build_hasher().finish()),
        address: settings.agent_address(),
        zone: ZoneName::from(settings.zone.as_str()),
    }
}
