//! The controller's interface to the chain. The interface is a trait so that tests can replace the
//! chain by an in-memory log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plankhill_chain::Member;
use plankhill_control::{ControlState, Operation, Outcome};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::Connection;
use plankhill_replica::{CommittedState, ReplicaHandle, Unavailable};
use tokio::sync::watch;

/// A committed control state and its position in the log.
pub type CommittedControlState = CommittedState<ControlState>;

/// A controller and the address at which it listens for other controllers.
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

/// The state of the chain as known to this controller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainStatus {
    /// The number of the newest view known to this controller; 0 before the first view.
    pub view: u64,
    /// Whether this controller is the head of the chain in that view, and the view was recently
    /// confirmed.
    pub is_head: bool,
    /// The members of the chain, head first.
    pub chain: Vec<ChainPeer>,
    /// All voting controllers, including those that are not in the chain.
    pub voters: Vec<ChainPeer>,
}

/// The ordered, replicated log of control operations. Clones are handles to the same log.
#[expect(async_fn_in_trait, reason = "used on one thread only")]
pub trait ControlLog: Clone + 'static {
    /// Proposes an operation and waits until it is committed.
    ///
    /// # Errors
    /// [`Unavailable`] if there is no outcome within `timeout`; the operation may still be
    /// committed later.
    async fn propose(
        &self,
        operation: Operation,
        timeout: Duration,
    ) -> Result<Outcome, Unavailable>;

    /// Returns a watch on the newest committed state known to this controller.
    fn state(&self) -> watch::Receiver<Arc<CommittedControlState>>;

    /// Performs a linearizable read: the returned state includes every operation committed before
    /// the call.
    ///
    /// # Errors
    /// [`Unavailable`] if the state could not be confirmed within `timeout`.
    async fn read(&self, timeout: Duration) -> Result<Arc<CommittedControlState>, Unavailable>;

    /// Returns whether this controller's state was recently confirmed to be the newest.
    fn is_current(&self) -> bool;

    /// Returns a watch on [`ControlLog::is_current`].
    fn watch_current(&self) -> watch::Receiver<bool>;

    /// Returns the state of the chain as known to this controller.
    fn chain_status(&self) -> ChainStatus;

    /// Serves a chain connection opened by another controller until the connection ends.
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
