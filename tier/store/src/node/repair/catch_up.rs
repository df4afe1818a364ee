//! After a start: takes in what this store has missed while it was away, and finds out what others lack.
//!
//! Hints do the same where a store was away and came back as it was; a start may have lost some of them.

use std::rc::Rc;

use plankhill_conversations::peer::StoreSet;
use plankhill_conversations::placement::is_serving;
use plankhill_protocol::tables::StoreMember;

use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::figures::{CATCH_UP_PAUSE, CATCH_UP_ROUNDS};
use crate::peers::Peers;

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Compares with each other serving store until all have answered, or for a bounded time.
    pub(super) async fn catch_up(self: &Rc<Self>) {
        let mut compared: Vec<StoreMember> = Vec::new();
        for _ in 0..CATCH_UP_ROUNDS {
            let view = self.view();
            let others = view
                .serving
                .iter()
                .filter(|member| member.node != self.parts.me.node);
            let left: Vec<&StoreMember> =
                others.filter(|member| !compared.contains(member)).collect();
            if !view.serving.is_empty() && (left.is_empty() || !is_serving(&view, &self.parts.me)) {
                return;
            }
            self.durable(view.epoch).await;
            for source in left {
                if self
                    .copy_from(&view, StoreSet::Serving, source)
                    .await
                    .is_ok()
                {
                    compared.push(source.clone());
                }
            }
            tokio::time::sleep(CATCH_UP_PAUSE).await;
        }
    }
}
