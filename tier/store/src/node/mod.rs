//! One store: answers proxies and other stores, repairs what others missed, and copies the programs that
//! it becomes a replica of.
//!
//! A proxy may call any store; the called store coordinates the call (`coordinator`): it sends requests
//! to the program's replicas, itself among them if it is one, and answers once a quorum has synced. The
//! replica's side is in `replica`. `repair` delivers updates that a replica missed (hinted handoff)
//! and compares with other stores after a start; `transfer` copies programs when the set of stores
//! changes. `state` has the structs that own the node's state, each its own part.

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
use tokio::sync::watch;

use crate::clock::Clock;
use crate::limits::Limits;
use crate::peers::Peers;
use crate::storage::Storage;
use state::{HintTable, RowWriter, TurnTable, ViewState};

/// What a node is built from.
pub struct NodeParts<P, S, C> {
    /// The store's own entry in views.
    pub identity: StoreMember,
    /// Bounds.
    pub limits: Limits,
    /// Calls to the other stores.
    pub peers: P,
    /// The store's rows.
    pub storage: S,
    /// The store's time of day.
    pub clock: C,
}

/// One store. For one thread, inside a `LocalSet`.
///
/// Invariants, on which acknowledgements rest:
/// - An update is in memory before its rows are handed to the disk, and the disk's commits take effect in
///   the order of their calls: a later row of the same turn never loses what an earlier one had.
/// - An update is acknowledged only after its rows are synced, a repeated one only after those of the
///   first are.
/// - A view is acted on as the copying side only once it is synced here: calls of older views are then
///   refused for good, also after a restart.
pub struct Node<P, S, C> {
    identity: StoreMember,
    limits: Limits,
    peers: P,
    clock: C,
    rows: RowWriter<S>,
    views: ViewState,
    turns: RefCell<TurnTable>,
    hints: RefCell<HintTable>,
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Answers one call of a proxy or of another store.
    pub async fn answer(self: Rc<Self>, request: StoreRequest) -> StoreResponse {
        match request {
            StoreRequest::Proxy(call) => StoreResponse::Proxy(self.answer_proxy(call).await),
            StoreRequest::Peer(call) => StoreResponse::Peer(self.answer_peer(call).await),
        }
    }

    /// The store's own entry in views.
    pub fn identity(&self) -> &StoreMember {
        &self.identity
    }

    /// Whether the disk has failed: the process has to start anew.
    pub fn has_storage_failed(&self) -> bool {
        self.rows.has_failed()
    }

    /// The newest view that this store knows.
    pub fn view(&self) -> StoreView {
        self.views.current()
    }

    /// The epoch of the last view for whose next set this store has copied all its programs; the
    /// controllers are notified.
    pub fn transferred_epoch(&self) -> watch::Receiver<Option<StoreEpoch>> {
        self.views.watch_transferred()
    }

    /// Number of updates that other stores have missed as far as this one knows.
    pub fn pending_hints(&self) -> usize {
        self.hints.borrow().len()
    }

    fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }
}
