//! How calls get to the stores.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use plankhill_conversations::wire::{StoreAnswer, StoreRequest};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::store_calls::{StoreCall, StoreReply};
use plankhill_protocol::transport::{CallError, Caller, Channel, Hello};

/// Calls stores.
pub trait StoreCalls: 'static {
    /// One call; the answer comes within `timeout` or not at all.
    fn call(
        &self,
        address: SocketAddr,
        call: StoreCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<StoreReply, CallError>> + 'static;

    /// Only these stores are called from now on.
    fn keep_only(&self, addresses: &[SocketAddr]);
}

/// Calls over TCP; one connection to each store.
pub struct TcpStores {
    node: NodeId,
    callers: RefCell<HashMap<SocketAddr, Caller<StoreRequest, StoreAnswer>>>,
}

impl TcpStores {
    /// Calls in the name of this machine.
    pub fn new(node: NodeId) -> Self {
        TcpStores {
            node,
            callers: RefCell::default(),
        }
    }

    fn caller(&self, address: SocketAddr) -> Caller<StoreRequest, StoreAnswer> {
        let mut callers = self.callers.borrow_mut();
        let fresh = || Caller::new(address, Hello::new(Channel::Store, self.node.clone()));
        callers.entry(address).or_insert_with(fresh).clone()
    }
}

impl StoreCalls for TcpStores {
    fn call(
        &self,
        address: SocketAddr,
        call: StoreCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<StoreReply, CallError>> + 'static {
        let caller = self.caller(address);
        async move {
            match caller.call(StoreRequest::Proxy(call), timeout).await? {
                StoreAnswer::Proxy(reply) => Ok(reply),
                StoreAnswer::Peer(_) => Err(CallError::NoAnswer),
            }
        }
    }

    fn keep_only(&self, addresses: &[SocketAddr]) {
        self.callers
            .borrow_mut()
            .retain(|address, _| addresses.contains(address));
    }
}
