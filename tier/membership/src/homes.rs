//! Which edge of a zone is the zone's home: the other edges get their updates from it.
//!
//! All services of a zone have one home. A request's route, targets and stores must come from one
//! revision; with a home for each service, a snapshot would be put together from several.

use plankhill_protocol::ids::ZoneName;
use plankhill_protocol::tables::Edge;

use crate::rendezvous;

/// The home of a zone: the first of its registered edges by rendezvous hashing. When that edge is
/// gone, the next one is the home. `None` if the zone has no edge.
pub fn home_of<'a>(zone: &ZoneName, edges: &'a [Edge]) -> Option<&'a Edge> {
    let in_zone = edges.iter().filter(|edge| edge.zone == *zone);
    let home = rendezvous::first(zone.as_str(), in_zone.map(|edge| &edge.node))?;
    edges.iter().find(|edge| edge.node == *home)
}

/// The home from which `me` gets its updates; `None` if `me` is the home itself, or the zone has
/// none.
pub fn home_to_follow<'a>(me: &Edge, edges: &'a [Edge]) -> Option<&'a Edge> {
    home_of(&me.zone, edges).filter(|home| home.node != me.node)
}
