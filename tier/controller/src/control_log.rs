//! The chain as the controller uses it: a trait, so that tests can put a log in memory in its
//! place.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plankhill_chain::Member;
use plankhill_control::{ControlState, Operation, Outcome};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::Connection;
use plankhill_replica::{CommittedState, ReplicaHandle, Unavailable};
use tokio::sync::watch;

/// A committed control state with its position in the order of operations.
pub type CommittedControlState = CommittedState<ControlState>;

/// One controller and the address at which it listens for the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainPeer {
    /// The machine.
    pub node: NodeId,
    /// Its internal address.
    pub address: SocketAddr,
}

impl From<Member> for ChainPeer {
    fn from(member: Member) -> Self {
        ChainPeer {
            node: member.identity.node,
            address: member.address,
        }
    }
}

/// The chain as this controller knows it, and whether this controller heads it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainStatus {
    /// The number of the newest view known here; 0 before the first.
    pub view: u64,
    /// Whether this controller heads the chain.
    pub is_head: bool,
    /// The chain, head first.
    pub chain: Vec<ChainPeer>,
    /// All controllers that vote, also those that are out of the chain.
    pub voters: Vec<ChainPeer>,
}

/// The ordered, replicated log of control operations. Clones are handles to the same log.
#[expect(async_fn_in_trait, reason = "used on one thread only")]
pub trait ControlLog: Clone + 'static {
    /// Gets an operation committed.
    ///
    /// # Errors
    /// [`Unavailable`] if no outcome came in time; the operation may still be committed later.
    async fn propose(
        &self,
        operation: Operation,
        timeout: Duration,
    ) -> Result<Outcome, Unavailable>;

    /// The newest committed state known here, to wait for newer ones.
    fn state(&self) -> watch::Receiver<Arc<CommittedControlState>>;

    /// A linearizable read: a state that holds everything committed before the call.
    ///
    /// # Errors
    /// [`Unavailable`] if that could not be confirmed in time.
    async fn read(&self, timeout: Duration) -> Result<Arc<CommittedControlState>, Unavailable>;

    /// Whether the state known here was confirmed lately to be the newest.
    fn is_current(&self) -> bool;

    /// The same, to wait for changes.
    fn watch_current(&self) -> watch::Receiver<bool>;

    /// The present chain as this controller knows it.
    fn chain_status(&self) -> ChainStatus;

    /// Serves a connection that another controller opened for the chain, until it ends.
    async fn serve_chain(&self, connection: Connection);
}

impl ControlLog for ReplicaHandle<ControlState> {
    async fn propose(
        &self,
        operation: Operation,
        timeout: Duration,
    ) -> Result<Outcome, Unavailable> {
        ReplicaHandle::propose(self, operation, timeout).await
    }

    fn state(&self) -> watch::Receiver<Arc<CommittedControlState>> {
        ReplicaHandle::state(self)
    }

    async fn read(&self, timeout: Duration) -> Result<Arc<CommittedControlState>, Unavailable> {
        ReplicaHandle::read(self, timeout).await
    }

    fn is_current(&self) -> bool {
        ReplicaHandle::is_current(self)
    }

    fn watch_current(&self) -> watch::Receiver<bool> {
        ReplicaHandle::watch_current(self)
    }

    fn chain_status(&self) -> ChainStatus {
        let status = self.status();
        ChainStatus {
            view: status.view.0,
            is_head: status.is_head,
            chain: status.chain.into_iter().map(ChainPeer::from).collect(),
            voters: status.voters.into_iter().map(ChainPeer::from).collect(),
        }
    }

    async fn serve_chain(&self, connection: Connection) {
        self.serve(connection).await;
    }
}
