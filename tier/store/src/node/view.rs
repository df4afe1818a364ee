//! Installation of a view of the stores. The view applies to calls at once; it is written to disk before
//! the store copies programs under it, or lists its programs to a store that does.

use std::rc::Rc;
use std::time::Duration;

use plankhill_conversations::rows::view_row;
use plankhill_protocol::tables::StoreView;

use super::Node;
use crate::clock::Clock;
use crate::peers::Peers;
use crate::storage::Storage;

/// Backoff before the write of a view is retried.
const VIEW_WRITE_BACKOFF: Duration = Duration::from_millis(300);

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Installs a view if it is newer than the current one. From then on calls of older views are refused.
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
        // The commit starts here and not in the task, so that views are written in the order of their
        // epochs.
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
