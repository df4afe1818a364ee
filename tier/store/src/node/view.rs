//! Installing a view of the stores: in force for answers at once, on disk before the store copies for it
//! or lists its programs to a store that does.

use std::rc::Rc;
use std::time::Duration;

use plankhill_conversations::rows::view_row;
use plankhill_protocol::tables::StoreView;

use super::Node;
use crate::clock::Clock;
use crate::peers::Peers;
use crate::storage::Storage;

/// Backoff before a view that the disk refused is written again.
const VIEW_WRITE_BACKOFF: Duration = Duration::from_millis(300);

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Installs a view if it is newer than the current one. Calls of older views are refused from now on.
    pub fn install_view(self: &Rc<Self>, view: &StoreView) {
        if view.epoch <= self.views.epoch() {
            return;
        }
        tracing::info!(
            epoch = view.epoch.0,
            serving = view.serving.len(),
            is_changing = view.next.is_some(),
            "store view installed"
        );
        self.views.replace(view.clone());
        // The commit begins here, so that views reach the disk in the order of their epochs.
        let written = self.rows.commit(vec![view_row(view)]);
        let node = self.clone();
        let view = view.clone();
        tokio::task::spawn_local(async move {
            let mut outcome = written.await;
            while outcome.is_err() {
                tokio::time::sleep(VIEW_WRITE_BACKOFF).await;
                if !node.views.is_current(&view) {
                    return;
                }
                outcome = node.rows.commit(vec![view_row(&view)]).await;
            }
            node.views.set_durable(view.epoch);
            node.transfer_for(&view).await;
        });
    }
}
