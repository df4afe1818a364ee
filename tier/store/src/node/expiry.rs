//! What is too old goes.

use std::rc::Rc;

use plankhill_conversations::rows::{account_key, turn_key, RowChange, Table};

use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::figures::EXPIRY_INTERVAL;
use crate::peers::Peers;

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Drops what is too old, for ever.
    pub async fn run_expiry(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            self.expire().await;
        }
    }

    async fn expire(&self) {
        let expired = self.state.borrow_mut().index.expire(self.now_ms());
        let mut changes = Vec::new();
        for turn in &expired.turns {
            changes.push(RowChange::remove(Table::Turns, turn_key(turn)));
            changes.push(RowChange::remove(Table::Extensions, turn_key(turn)));
        }
        for (program, account) in &expired.accounts {
            let keys = account.turns().map(|(turn, _)| account_key(program, turn));
            changes.extend(keys.map(|key| RowChange::remove(Table::Accounts, key)));
        }
        if changes.is_empty() {
            return;
        }
        if let Err(error) = self.parts.disk.commit(changes).await {
            self.note_disk_error(&error);
        }
    }
}
