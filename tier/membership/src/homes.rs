//! Selects the home of a zone: the edge from which the other edges of the zone receive updates.
//!
//! All services of a zone share one home. The route, targets and stores of a request must come from
//! the same revision; with one home per service, a snapshot would combine several revisions.

use plankhill_protocol::ids::ZoneName;
use plankhill_protocol::tables::Edge;

use crate::rendezvous;

/// Returns the home of a zone: the registered edge with the highest rendezvous score. When that
/// edge is removed, the edge with the next highest score becomes the home. `None` if the zone has
/// no edges.
pub fn home_of<'a>(zone: &ZoneName, edges: &'a [Edge]) -> Option<&'a Edge> {
    let in_zone = edges.iter().filter(|edge| edge.zone == *zone);
    let home = rendezvous::first(zone.as_str(), in_zone.map(|edge| &edge.node))?;
    edges.iter().find(|edge| edge.node == *home)
}

/// Returns the home from which `own_edge` receives updates; `None` if `own_edge` is the home, or
/// the zone has no edges.
pub fn home_to_follow<'a>(own_edge: &Edge, edges: &'a [Edge]) -> Option<&'a Edge> {
    home_of(&own_edge.zone, edges).filter(|home| home.node != own_edge.node)
}
