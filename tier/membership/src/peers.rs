//! Which peers a machine monitors.

use plankhill_protocol::ids::NodeId;

use crate::rendezvous;

/// Peers that each machine monitors, so that about as many monitor it: two must agree on a suspicion, and one
/// of the three may be gone as well.
pub const MONITORED: usize = 3;

/// The peers that `me` monitors among all members.
pub fn monitored<'a>(me: &NodeId, members: impl Iterator<Item = &'a NodeId>) -> Vec<&'a NodeId> {
    let others = members.filter(|member| *member != me);
    rendezvous::top(me.as_str(), others, MONITORED)
}
