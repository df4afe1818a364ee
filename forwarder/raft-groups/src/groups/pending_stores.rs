//! What has to wait until the disk has stored the identity or the known starts.

use crate::links::channels::PeerIndex;
use crate::{GroupId, Incarnation};

/// What follows once it is stored.
pub(super) enum AfterStore {
    /// A caller is welcomed.
    WelcomeCaller {
        call: u64,
        peer: PeerIndex,
        incarnation: Incarnation,
    },
    /// A peer that replied to this instance's hello is reachable.
    ConnectPeer {
        peer: PeerIndex,
        incarnation: Incarnation,
        control: Option<GroupId>,
    },
    /// A group is founded under this number.
    FoundGroup { number: u32 },
}

/// Stores are numbered by tokens, and the disk acknowledges them in order.
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
    /// The token of a store that is handed to the disk now.
    pub(super) fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Returns the action where all that was handed to the disk is stored; else it waits for that.
    pub(super) fn wait_for_all(&mut self, action: AfterStore) -> Option<AfterStore> {
        if self.stored_token == self.last_token {
            return Some(action);
        }
        self.wait_for(self.last_token, action);
        None
    }

    /// The action waits for the store of that token.
    pub(super) fn wait_for(&mut self, token: u64, action: AfterStore) {
        self.waiting.push(WaitingAction { token, action });
    }

    /// The disk has stored everything up to `token`: the actions that waited for it, in their order.
    pub(super) fn stored(&mut self, token: u64) -> Vec<AfterStore> {
        self.stored_token = self.stored_token.max(token);
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.token <= token);
        self.waiting = waiting;
        ready.into_iter().map(|waiting| waiting.action).collect()
    }
}
