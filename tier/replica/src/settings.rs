//! The settings of a replica.

use std::net::SocketAddr;
use std::path::PathBuf;

use plankhill_protocol::ids::NodeId;

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The name of this node.
    pub node: NodeId,
    /// The address at which this node's controller listens for other processes of the tier.
    pub address: SocketAddr,
    /// The data folder; created if it does not exist.
    pub folder: PathBuf,
    /// The addresses at which the seeds' controllers listen for other processes of the tier.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the system. Only then may a seed with an empty disk create
    /// the chain.
    pub bootstrap: bool,
    /// The number of simultaneous node failures that the chain tolerates.
    pub tolerated_faults: usize,
}

impl ReplicaSettings {
    /// Returns the addresses of the members that may create the first view, or `None` if this node
    /// is not one of them.
    pub(crate) fn founders(&self) -> Option<Vec<SocketAddr>> {
        let is_founder = self.bootstrap && self.seeds.contains(&self.address);
        is_founder.then(|| self.seeds.clone())
    }
}
