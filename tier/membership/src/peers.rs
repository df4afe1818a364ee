//! Selects the peers that a machine probes.

use plankhill_protocol::ids::NodeId;

use crate::rendezvous;

/// Number of peers that each machine probes, and so the average number of machines that probe it.
/// Two of them must agree on a suspicion, and one of the three may have failed as well.
pub const MONITORED_PEERS: usize = 3;

/// Returns the peers among `members` that the machine `own_node` probes.
pub fn monitored_peers<'a>(
    own_node: &NodeId,
    members: impl Iterator<Item = &'a NodeId>,
) -> Vec<&'a NodeId> {
    let others = members.filter(|member| *member != own_node);
    rendezvous::top(own_node.as_str(), others, MONITORED_PEERS)
}
