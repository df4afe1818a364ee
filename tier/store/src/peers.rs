//! Calls from a store to other stores.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use plankhill_conversations::peer::{PeerCall, PeerReply};
use plankhill_conversations::wire::{StoreRequest, StoreResponse};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::{CallError, Caller, Channel, Hello};

/// Maximum number of open connections; views have far fewer stores. At the limit all connections are
/// closed, so that connections to removed stores do not accumulate.
const MAX_CONNECTIONS: usize = 256;

/// Calls other stores.
pub trait Peers: 'static {
    /// Calls a store once.
    ///
    /// # Errors
    /// [`CallError`] if no reply arrives within `timeout`.
    fn call(
        &self,
        address: SocketAddr,
        call: PeerCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<PeerReply, CallError>> + 'static;
}

/// Calls over TCP, with one connection to each store.
pub struct TcpPeers {
    node: NodeId,
    callers: RefCell<HashMap<SocketAddr, Caller<StoreRequest, StoreResponse>>>,
}

impl TcpPeers {
    /// Creates a caller that identifies itself to other stores as the machine `node`.
    pub fn new(node: NodeId) -> Self {
        TcpPeers {
            node,
            callers: RefCell::default(),
        }
    }

    fn caller(&self, address: SocketAddr) -> Caller<StoreRequest, StoreResponse> {
        let mut callers = self.callers.borrow_mut();
        if callers.len() >= MAX_CONNECTIONS && !callers.contains_key(&address) {
            callers.clear();
        }
        let connect = || Caller::new(address, Hello::new(Channel::Store, self.node.clone()));
        callers.entry(address).or_insert_with(connect).clone()
    }
}

impl Peers for TcpPeers {
    fn call(
        &self,
        address: SocketAddr,
        call: PeerCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<PeerReply, CallError>> + 'static {
        let caller = self.caller(address);
        async move {
            match caller.call(StoreRequest::Peer(call), timeout).await? {
                StoreResponse::Peer(reply) => Ok(reply),
                StoreResponse::Proxy(_) => Err(CallError::NoAnswer),
            }
        }
    }
}
