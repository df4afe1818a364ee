//! The settings of a replica.

use std::net::SocketAddr;
use std::path::PathBuf;

use plankhill_protocol::ids::NodeId;

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The machine.
    pub node: NodeId,
    /// Where this machine's controller listens for other processes of the tier.
    pub address: SocketAddr,
    /// The folder for its data; made if it is missing.
    pub folder: PathBuf,
    /// Where the seeds' controllers listen for other processes of the tier.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the very first start of the system, in which a seed with an empty disk may
    /// found the chain.
    pub bootstrap: bool,
    /// Losses of machines to be borne at once.
    pub tolerated_faults: usize,
}

impl ReplicaSettings {
    /// Those that may found the first view, where this machine is one of them.
    pub(crate) fn founders(&self) -> Option<Vec<SocketAddr>> {
        let is_founder = self.bootstrap && self.seeds.contains(&self.address);
        is_founder.then(|| self.seeds.clone())
    }
}
