//! What the controller needs of the chain, so that tests can stand in for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plankhill_control::{ControlState, Operation, Outcome};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::Connection;
use plankhill_replica::{CommittedState, ReplicaHandle, Unavailable};
use tokio::sync::watch;

/// A committed state with its place in the order of operations.
pub type Committed = CommittedState<ControlState>;

/// One controller and where it listens for the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The machine.
    pub node: NodeId,
    /// Its internal address.
    pub address: SocketAddr,
}

/// This controller's place among the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Number of the newest view known here.
    pub view: u64,
    /// Whether this controller heads the chain.
    pub is_head: bool,
    /// The chain, head first.
    pub chain: Vec<Peer>,
    /// All controllers that vote, also those out of service.
    pub voters: Vec<Peer>,
}

/// Ordered, replicated control state. Clones are handles to the same.
#[expect(async_fn_in_trait, reason = "used on one thread only")]
pub trait ControlLog: Clone + 'static {
    /// Gets an operation committed.
    ///
    /// # Errors
    /// If no outcome came in time; the operation may still be committed later.
    async fn propose(
        &self,
        operation: Operation,
        timeout: Duration,
    ) -> Result<Outcome, Unavailable>;

    /// The newest committed state known here.
    fn state(&self) -> watch::Receiver<Arc<Committed>>;

    /// A state that holds everything committed before the call.
    ///
    /// # Errors
    /// If that could not be confirmed in time.
    async fn read(&self, timeout: Duration) -> Result<Arc<Committed>, Unavailable>;

    /// Whether the state known here was confirmed lately to be the newest.
    fn is_current(&self) -> bool;

    /// The same, to wait for changes.
    fn current_changes(&self) -> watch::Receiver<bool>;

    /// This controller's place among the others.
    fn place(&self) -> Place;

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

    fn state(&self) -> watch::Receiver<Arc<Committed>> {
        ReplicaHandle::state(self)
    }

    async fn read(&self, timeout: Duration) -> Result<Arc<Committed>, Unavailable> {
        ReplicaHandle::read(self, timeout).await
    }

    fn is_current(&self) -> bool {
        ReplicaHandle::is_current(self)
    }

    fn current_changes(&self) -> watch::Receiver<bool> {
        ReplicaHandle::current_changes(self)
    }

    fn place(&self) -> Place {
        let standing = self.status();
        let peer = |member: plankhill_chain::Member| Peer {
            node: member.identity.node,
            address: member.address,
        };
        Place {
            view: standing.view.0,
            is_head: standing.is_head,
            chain: standing.chain.into_iter().map(peer).collect(),
            voters: standing.voters.into_iter().map(peer).collect(),
        }
    }

    async fn serve_chain(&self, connection: Connection) {
        self.serve(connection).await;
    }
}
