//! Messages on a connection to a store: calls of proxies and of other stores.

use plankhill_protocol::store_calls::{StoreCall, StoreReply};
use serde::{Deserialize, Serialize};

use crate::peer::{PeerCall, PeerReply};

/// One call to a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// From a proxy.
    Proxy(StoreCall),
    /// From another store.
    Peer(PeerCall),
}

/// The answer to a [`StoreRequest`], of the same kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreResponse {
    /// To a proxy.
    Proxy(StoreReply),
    /// To another store.
    Peer(PeerReply),
}
