//! Actions that wait until the disk has stored the identity or the known starts.

use crate::links::channels::PeerIndex;
use crate::{GroupId, Incarnation};

/// An action that runs once the data it depends on is stored.
pub(super) enum AfterStore {
    /// Accepts the peer on an incoming connection.
    WelcomePeer {
        connection: u64,
        peer: PeerIndex,
        incarnation: Incarnation,
    },
    /// Marks a peer that accepted this instance's hello as connected.
    ConnectPeer {
        peer: PeerIndex,
        incarnation: Incarnation,
        control: Option<GroupId>,
    },
    /// Continues the founding of the group with this number.
    FoundGroup { number: u32 },
}

/// The pending stores, numbered by tokens. The disk thread acknowledges them in order.
#[derive(Default)]
pub(super) struct PendingStores {
    last_token: u64,
    stored_token: u64,
    waiting: Vec<WaitingAction>,
}

struct WaitingAction {
    token: u64,
    action: AfterStore,
}

impl PendingStores {
    /// Returns the token for a store that is about to be submitted to the disk thread.
    pub(super) fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Returns the action if all submitted data is stored; otherwise queues the action until then.
    pub(super) fn wait_for_all(&mut self, action: AfterStore) -> Option<AfterStore> {
        if self.stored_token == self.last_token {
            return Some(action);
        }
        self.wait_for(self.last_token, action);
        None
    }

    /// Queues the action until the store with that token completes.
    pub(super) fn wait_for(&mut self, token: u64, action: AfterStore) {
        self.waiting.push(WaitingAction { token, action });
    }

    /// Records that all stores up to `token` are complete, and returns the actions that waited for them, in order.
    pub(super) fn stored(&mut self, token: u64) -> Vec<AfterStore> {
        self.stored_token = self.stored_token.max(token);
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.token <= token);
        self.waiting = waiting;
        ready.into_iter().map(|waiting| waiting.action).collect()
    }
}
