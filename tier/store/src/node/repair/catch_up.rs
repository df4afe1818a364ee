//! Anti-entropy after a start: merges the updates and extensions that this store missed while it was not
//! running, and records hints for updates that other stores lack.
//!
//! Hints do the same for a store that was unreachable and returns with its state intact, but a restart may
//! lose some of them.

use std::rc::Rc;

use plankhill_conversations::peer::StoreSet;
use plankhill_conversations::placement::is_serving;
use plankhill_protocol::tables::StoreMember;

use crate::clock::Clock;
use crate::limits::{CATCH_UP_INTERVAL, MAX_CATCH_UP_ATTEMPTS};
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Compares with each other serving store until all comparisons are complete, or the maximum number of
    /// attempts is reached.
    pub(in crate::node) async fn catch_up(self: &Rc<Self>) {
        let mut compared: Vec<StoreMember> = Vec::new();
        for _ in 0..MAX_CATCH_UP_ATTEMPTS {
            let view = self.view();
            let pending: Vec<&StoreMember> = view
                .serving
                .iter()
                .filter(|member| member.node != self.identity.node && !compared.contains(member))
                .collect();
            let is_done = pending.is_empty() || !is_serving(&view, &self.identity);
            if is_done && !view.serving.is_empty() {
                return;
            }
            self.views.wait_durable(view.epoch).await;
            for source in pending {
                if self
                    .copy_from(&view, StoreSet::Serving, source)
                    .await
                    .is_ok()
                {
                    compared.push(source.clone());
                }
            }
            tokio::time::sleep(CATCH_UP_INTERVAL).await;
        }
    }
}
