//! Transfer of programs to the next set: copies all programs of which this store is a replica there from
//! the serving stores, and reports when it has them.
//!
//! The controllers switch to the next set once each of its members has reported. Between the two views
//! writes need a quorum of both sets, so that nothing that is written meanwhile is missed.

mod copy_from;

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

/// Attempts in which stores that did not answer are called again though a read quorum was copied from.
const MIN_ATTEMPTS: u32 = 2;

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Copies this store's programs of the view's next set; the view is on disk here. Ends when done, or
    /// when a newer view has come.
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
