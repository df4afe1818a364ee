//! Transfer of programs to the next set: copies from the serving stores all programs of which this store is
//! a replica in the next set, and reports the completed transfer.
//!
//! The controllers switch to the next set once each of its members has reported. Until the switch, writes
//! need a quorum of both sets, so that writes made during the transfer are not missed.

mod copy_from;
mod retention;

use std::rc::Rc;

use plankhill_conversations::peer::StoreSet;
use plankhill_conversations::placement::{is_same_incarnation, is_serving};
use plankhill_conversations::quorum::Quorum;
use plankhill_protocol::tables::{StoreMember, StoreView};

use super::Node;
use crate::clock::Clock;
use crate::limits::TRANSFER_RETRY_BACKOFF;
use crate::peers::Peers;
use crate::storage::Storage;
use copy_from::CopyError;

/// Minimum number of attempts before the transfer ends with some sources failed, even if a read quorum has
/// been copied from.
const MIN_ATTEMPTS: u32 = 2;

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Copies this store's programs of the view's next set. The view must be on disk here. Ends when the
    /// transfer is complete, or when a newer view is installed.
    ///
    /// A read quorum of the serving stores is enough: at least one of them has each acknowledged write.
    pub(super) async fn transfer_for(self: &Rc<Self>, view: &StoreView) {
        let Some(next) = &view.next else { return };
        if !next
            .iter()
            .any(|member| is_same_incarnation(member, &self.identity))
        {
            return;
        }
        let quorum = Quorum::new(view.serving.len(), view.tolerated_faults).read;
        let mut copied = if is_serving(view, &self.identity) {
            1
        } else {
            0
        };
        let mut pending: Vec<StoreMember> = view
            .serving
            .iter()
            .filter(|member| member.node != self.identity.node)
            .cloned()
            .collect();
        let mut attempts = 0;
        while self.views.is_current(view) {
            let mut failed = Vec::new();
            for source in pending {
                match self.copy_from(view, StoreSet::Next, &source).await {
                    Ok(()) => copied += 1,
                    Err(CopyError) => failed.push(source),
                }
            }
            pending = failed;
            attempts += 1;
            if pending.is_empty() || (copied >= quorum && attempts >= MIN_ATTEMPTS) {
                break;
            }
            tokio::time::sleep(TRANSFER_RETRY_BACKOFF).await;
        }
        if copied >= quorum && self.views.is_current(view) {
            tracing::info!(
                epoch = view.epoch.0,
                sources = copied,
                "store transfer complete"
            );
            self.views.set_transferred(view.epoch);
        }
    }
}
