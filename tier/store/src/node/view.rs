//! The view of the stores: taken when newer, on disk before anybody may rely on it.

use std::rc::Rc;
use std::time::Duration;

use plankhill_conversations::rows::view_row;
use plankhill_protocol::ids::StoreEpoch;
use plankhill_protocol::tables::StoreView;
use tokio::sync::watch;

use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::peers::Peers;

/// A view that the disk refused to take is written again after this long.
const VIEW_RETRY: Duration = Duration::from_millis(300);

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// The newest view that this store knows.
    pub fn view(&self) -> StoreView {
        self.state.borrow().view.clone()
    }

    /// Takes a view if it is newer: calls of older ones are refused from now on.
    pub fn take_view(self: &Rc<Self>, view: &StoreView) {
        if view.epoch <= self.state.borrow().view.epoch {
            return;
        }
        tracing::info!(
            epoch = view.epoch.0,
            serving = view.serving.len(),
            changing = view.next.is_some(),
            "view of the stores"
        );
        self.state.borrow_mut().view = view.clone();
        let written = self.parts.disk.commit(vec![view_row(view)]);
        let (node, view) = (self.clone(), view.clone());
        tokio::task::spawn_local(async move {
            let mut outcome = written.await;
            while let Err(error) = outcome {
                node.note_disk_error(&error);
                tokio::time::sleep(VIEW_RETRY).await;
                if !node.is_current(&view) {
                    return;
                }
                outcome = node.parts.disk.commit(vec![view_row(&view)]).await;
            }
            node.view_is_durable(&view).await;
        });
    }

    async fn view_is_durable(self: &Rc<Self>, view: &StoreView) {
        self.durable_epoch.send_if_modified(|epoch| {
            let newer = view.epoch > *epoch;
            *epoch = view.epoch.max(*epoch);
            newer
        });
        self.copy_for(view).await;
    }

    /// Waits until the view of this epoch is on disk.
    pub(super) async fn durable(&self, epoch: StoreEpoch) {
        let mut durable = self.durable_epoch.subscribe();
        // The sender lives as long as this node.
        let _ = durable.wait_for(|durable| *durable >= epoch).await;
    }

    /// The epoch for whose next set this store has copied everything; to be told to the controller.
    pub fn copied_epoch(&self) -> watch::Receiver<Option<StoreEpoch>> {
        self.copied_epoch.subscribe()
    }
}
