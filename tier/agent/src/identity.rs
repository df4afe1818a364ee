//! The identity with which this process registers with the controllers.

use std::hash::{BuildHasher, Hasher, RandomState};

use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};
use plankhill_protocol::tables::Edge;
use plankhill_settings::Settings;

/// Returns the edge entry of this machine. The agent stores nothing on disk, so each start is a new
/// incarnation.
pub(crate) fn edge_from_settings(settings: &Settings) -> Edge {
    Edge {
        node: NodeId::from(settings.node_id.as_str()),
        incarnation: Incarnation(RandomState::new().build_hasher().finish()),
        address: settings.agent_address(),
        zone: ZoneName::from(settings.zone.as_str()),
    }
}
