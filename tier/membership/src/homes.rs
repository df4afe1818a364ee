//! Which edge of a zone is the home of a service there.

use plankhill_protocol::ids::{NodeId, ServiceName, ZoneName};
use plankhill_protocol::tables::Edge;

use crate::rendezvous;

/// The home of a service in a zone: the first of its live edges by rendezvous hashing, and with it the one that
/// takes over when it is gone. None if the zone has no edge.
pub fn home_of<'a>(service: &ServiceName, zone: &ZoneName, edges: &'a [Edge]) -> Option<&'a Edge> {
    let nodes = edges.iter().filter(|edge| edge.zone == *zone).map(|edge| &edge.node);
    let home: &NodeId = rendezvous::first(service.as_str(), nodes)?;
    edges.iter().find(|edge| edge.node == *home)
}
