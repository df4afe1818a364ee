//! Connections to the stores.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use plankhill_conversations::wire::{StoreRequest, StoreResponse};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::store_calls::{StoreCall, StoreReply};
use plankhill_protocol::transport::{CallError, Caller, Channel, Hello};

/// The transport of calls to stores. Tests implement it with simulated stores.
pub trait StoreTransport: 'static {
    /// Calls a store once.
    ///
    /// # Errors
    /// [`CallError`] if no reply arrives within `timeout`.
    fn call(
        &self,
        address: SocketAddr,
        call: StoreCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<StoreReply, CallError>> + 'static;

    /// Closes the connections to all stores except those at `addresses`.
    fn retain_addresses(&self, addresses: &[SocketAddr]);
}

/// Calls over TCP, with one connection to each store.
pub struct TcpTransport {
    node: NodeId,
    callers: RefCell<HashMap<SocketAddr, Caller<StoreRequest, StoreResponse>>>,
}

impl TcpTransport {
    /// Creates a transport that identifies itself to the stores as the machine `node`.
    pub fn new(node: NodeId) -> Self {
        TcpTransport {
            node,
            callers: RefCell::default(),
        }
    }

    fn caller(&self, address: SocketAddr) -> Caller<StoreRequest, StoreResponse> {
        let mut callers = self.callers.borrow_mut();
        let connect = || Caller::new(address, Hello::new(Channel::Store, self.node.clone()));
        callers.entry(address).or_insert_with(connect).clone()
    }
}

impl StoreTransport for TcpTransport {
    fn call(
        &self,
        address: SocketAddr,
        call: StoreCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<StoreReply, CallError>> + 'static {
        let caller = self.caller(address);
        async move {
            match caller.call(StoreRequest::Proxy(call), timeout).await? {
                StoreResponse::Proxy(reply) => Ok(reply),
                StoreResponse::Peer(_) => Err(CallError::NoAnswer),
            }
        }
    }

    fn retain_addresses(&self, addresses: &[SocketAddr]) {
        let mut callers = self.callers.borrow_mut();
        callers.retain(|address, _| addresses.contains(address));
    }
}
