//! Removal of expired turns and accounts.

use std::rc::Rc;

use super::Node;
use crate::clock::Clock;
use crate::limits::EXPIRY_INTERVAL;
use crate::peers::Peers;
use crate::storage::Storage;

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Removes expired turns and accounts at an interval, until the node's task ends.
    pub(super) async fn run_expiry(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            self.expire().await;
        }
    }

    async fn expire(&self) {
        let removals = self.turns.borrow_mut().expire(self.now_ms());
        if removals.is_empty() {
            return;
        }
        // Rows that could not be removed are loaded at the next start and expire again.
        let _ = self.rows.commit(removals).await;
    }
}
