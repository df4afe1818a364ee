//! Which peers a machine probes.

use plankhill_protocol::ids::NodeId;

use crate::rendezvous;

/// Peers that each machine probes, so that about as many probe it: two must agree on a suspicion,
/// and one of the three may have failed as well.
pub const MONITORED_PEERS: usize = 3;

/// The peers that `me` probes among all members.
pub fn monitored_peers<'a>(
    me: &NodeId,
    members: impl Iterator<Item = &'a NodeId>,
) -> Vec<&'a NodeId> {
    let others = members.filter(|member| *member != me);
    rendezvous::top(me.as_str(), others, MONITORED_PEERS)
}
