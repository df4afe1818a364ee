//! How a store calls other stores.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use plankhill_conversations::peer::{PeerCall, PeerReply};
use plankhill_conversations::wire::{StoreAnswer, StoreRequest};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::{CallError, Caller, Channel, Hello};

/// Connections to stores that are kept; views hold far fewer.
const MOST_CALLERS: usize = 256;

/// Calls other stores.
pub trait Peers: 'static {
    /// One call; the answer comes within `timeout` or not at all.
    fn call(
        &self,
        address: SocketAddr,
        call: PeerCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<PeerReply, CallError>> + 'static;
}

/// Calls over TCP; one connection to each store.
pub struct TcpPeers {
    node: NodeId,
    callers: RefCell<HashMap<SocketAddr, Caller<StoreRequest, StoreAnswer>>>,
}

impl TcpPeers {
    /// Calls in the name of this machine.
    pub fn new(node: NodeId) -> Self {
        TcpPeers {
            node,
            callers: RefCell::default(),
        }
    }

    fn caller(&self, address: SocketAddr) -> Caller<StoreRequest, StoreAnswer> {
        let mut callers = self.callers.borrow_mut();
        if callers.len() >= MOST_CALLERS && !callers.contains_key(&address) {
            callers.clear();
        }
        let fresh = || Caller::new(address, Hello::new(Channel::Store, self.node.clone()));
        callers.entry(address).or_insert_with(fresh).clone()
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
                StoreAnswer::Peer(reply) => Ok(reply),
                StoreAnswer::Proxy(_) => Err(CallError::NoAnswer),
            }
        }
    }
}
