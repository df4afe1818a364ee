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

/// The reply to a [`StoreRequest`], in the variant of the same name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreResponse {
    /// To a proxy.
    Proxy(StoreReply),
    /// To another store.
    Peer(PeerReply),
}
