//! One store: replies to proxies and other stores, delivers updates that other stores missed, and copies the
//! programs of which it becomes a replica.
//!
//! A proxy may call any store; the called store coordinates the call (`coordinator`): it sends requests
//! to the program's replicas, including itself if it is one, and replies once a quorum has synced. The
//! replica's side is in `replica`. `repair` delivers updates that a replica missed (hinted handoff)
//! and compares with other stores after a start; `transfer` copies programs when the set of stores
//! changes. `state` has the structs that each own one part of the node's state.

mod chain_segment;
mod coordinator;
mod expiry;
mod load;
mod repair;
mod replica;
mod state;
mod transfer;
mod view;

use std::cell::RefCell;
use std::rc::Rc;

use plankhill_conversations::wire::{StoreRequest, StoreResponse};
use plankhill_protocol::ids::StoreEpoch;
use plankhill_protocol::tables::{StoreMember, StoreView};
use plankhill_protocol::transport::CallReply;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::limits::Limits;
use crate::peers::Peers;
use crate::storage::Storage;
use state::{ChainMemory, HintTable, RowWriter, TurnTable, ViewState};

/// The parts from which a node is built.
pub struct NodeParts<P, S, C> {
    /// The store's own entry in views.
    pub identity: StoreMember,
    /// Limits derived from the settings.
    pub limits: Limits,
    /// Calls to the other stores.
    pub peers: P,
    /// The store's rows.
    pub storage: S,
    /// The store's time of day.
    pub clock: C,
}

/// One store. Must be used on one thread, inside a `LocalSet`.
///
/// Acknowledgements rely on these invariants:
/// - An update is merged in memory before its rows are passed to the storage, and commits take effect in
///   the order of their calls, so a later row of a turn always includes the content of the earlier ones.
/// - An update is acknowledged only after its rows are synced, and a repeated update only after the rows
///   of the first one are synced.
/// - This store copies programs under a view only after the view is synced to its disk: from then on it
///   refuses calls of older views permanently, also after a restart.
pub struct Node<P, S, C> {
    identity: StoreMember,
    limits: Limits,
    peers: P,
    clock: C,
    rows: RowWriter<S>,
    views: ViewState,
    turns: RefCell<TurnTable>,
    hints: RefCell<HintTable>,
    /// The memory for chains that this store reads as a coordinator.
    chain_memory: ChainMemory,
    /// The memory for chains that this store sends to coordinators. Apart from the other one, so that two
    /// coordinators never wait for each other.
    peer_chain_memory: ChainMemory,
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Handles one call of a proxy or of another store.
    pub async fn handle_call(self: Rc<Self>, request: StoreRequest) -> CallReply<StoreResponse> {
        match request {
            StoreRequest::Proxy(call) => {
                let reply = self.handle_proxy_call(call).await;
                CallReply {
                    body: StoreResponse::Proxy(reply.body),
                    guard: reply.guard,
                }
            }
            StoreRequest::Peer(call) => {
                let reply = self.handle_peer_call(call).await;
                CallReply {
                    body: StoreResponse::Peer(reply.body),
                    guard: reply.guard,
                }
            }
        }
    }

    /// The store's own entry in views.
    pub fn identity(&self) -> &StoreMember {
        &self.identity
    }

    /// Returns whether the disk has failed, so that the process has to restart.
    pub fn has_storage_failed(&self) -> bool {
        self.rows.has_failed()
    }

    /// The newest view that is installed at this store.
    pub fn view(&self) -> StoreView {
        self.views.current()
    }

    /// Watches the epoch of the last view for whose next set this store has copied all its programs. The
    /// epoch is reported to the controllers.
    pub fn transferred_epoch(&self) -> watch::Receiver<Option<StoreEpoch>> {
        self.views.watch_transferred()
    }

    /// Number of hints at this store, each for an update that another store has missed.
    pub fn pending_hints(&self) -> usize {
        self.hints.borrow().len()
    }

    fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }
}
