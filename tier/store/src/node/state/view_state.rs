//! The newest view of the stores that a node has installed, and the epochs that are durable and transferred.

use std::cell::{Ref, RefCell};

use plankhill_protocol::ids::StoreEpoch;
use plankhill_protocol::tables::StoreView;
use tokio::sync::watch;

/// Owns the newest view, and the epochs that are durable and transferred.
pub(in crate::node) struct ViewState {
    current: RefCell<StoreView>,
    /// The highest epoch whose view is on disk.
    durable_epoch: watch::Sender<StoreEpoch>,
    /// The epoch of the last view for whose next set this store has copied all its programs.
    transferred_epoch: watch::Sender<Option<StoreEpoch>>,
}

impl ViewState {
    /// Creates the state from the view on disk.
    pub(in crate::node) fn new(stored: StoreView) -> Self {
        ViewState {
            durable_epoch: watch::Sender::new(stored.epoch),
            transferred_epoch: watch::Sender::new(None),
            current: RefCell::new(stored),
        }
    }

    /// The newest view.
    pub(in crate::node) fn current(&self) -> StoreView {
        self.current.borrow().clone()
    }

    /// Borrows the newest view; the caller must drop the borrow before it awaits.
    pub(in crate::node) fn borrow(&self) -> Ref<'_, StoreView> {
        self.current.borrow()
    }

    /// The epoch of the newest view.
    pub(in crate::node) fn epoch(&self) -> StoreEpoch {
        self.current.borrow().epoch
    }

    /// Returns whether `view` is the newest installed view.
    pub(in crate::node) fn is_current(&self, view: &StoreView) -> bool {
        self.epoch() == view.epoch
    }

    /// Replaces the current view with a newer one.
    pub(in crate::node) fn replace(&self, view: StoreView) {
        *self.current.borrow_mut() = view;
    }

    /// Records that the view of an epoch is on disk.
    pub(in crate::node) fn set_durable(&self, epoch: StoreEpoch) {
        self.durable_epoch.send_if_modified(|durable| {
            let is_newer = epoch > *durable;
            *durable = epoch.max(*durable);
            is_newer
        });
    }

    /// Waits until the view of `epoch`, or of a later epoch, is on disk.
    pub(in crate::node) async fn wait_durable(&self, epoch: StoreEpoch) {
        let mut durable = self.durable_epoch.subscribe();
        // Fails only if the sender is dropped, and this struct owns the sender.
        let _ = durable.wait_for(|durable| *durable >= epoch).await;
    }

    /// Records that this store has copied all its programs of an epoch's next set.
    pub(in crate::node) fn set_transferred(&self, epoch: StoreEpoch) {
        self.transferred_epoch.send_replace(Some(epoch));
    }

    /// Watches the transferred epoch.
    pub(in crate::node) fn watch_transferred(&self) -> watch::Receiver<Option<StoreEpoch>> {
        self.transferred_epoch.subscribe()
    }
}
