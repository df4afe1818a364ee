//! Which edge of a zone is the zone's home: the others get their updates from it.
//!
//! All services of a zone have one home. A request's route, targets and stores must come from one revision;
//! with a home for each service, a snapshot would be put together from several.

use plankhill_protocol::ids::{NodeId, ZoneName};
use plankhill_protocol::tables::Edge;

use crate::rendezvous;

/// The home of a zone: the first of its live edges by rendezvous hashing. When it is gone, the next one is.
/// None if the zone has no edge.
pub fn home_of<'a>(zone: &ZoneName, edges: &'a [Edge]) -> Option<&'a Edge> {
    let nodes = edges
        .iter()
        .filter(|edge| edge.zone == *zone)
        .map(|edge| &edge.node);
    let home: &NodeId = rendezvous::first(zone.as_str(), nodes)?;
    edges.iter().find(|edge| edge.node == *home)
}

/// The home that `me` is to follow; None if it is itself the home, or there is none.
pub fn home_to_follow<'a>(me: &Edge, edges: &'a [Edge]) -> Option<&'a Edge> {
    home_of(&me.zone, edges).filter(|home| home.node != me.node)
}
