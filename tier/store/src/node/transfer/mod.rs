//! Takes over: copies all that belongs to this store in the next set from the serving stores.

use std::rc::Rc;

use plankhill_conversations::peer::StoreSet;
use plankhill_conversations::placement::{is_same, is_serving, Quorum};
use plankhill_protocol::tables::{StoreMember, StoreView};

use super::copy_source::Interrupted;
use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::figures::COPY_PAUSE;
use crate::peers::Peers;

/// Rounds in which stores that do not answer are tried again though enough others have answered.
const PATIENT_ROUNDS: u32 = 2;

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Copies for this view, whose fence is on disk here; ends when done, or when a newer view has come.
    pub(super) async fn copy_for(self: &Rc<Self>, view: &StoreView) {
        let me = &self.parts.me;
        let Some(next) = &view.next else { return };
        if !next.iter().any(|member| is_same(member, me)) {
            return;
        }
        let enough = Quorum::of(view.serving.len(), view.tolerated_faults).read;
        let own = usize::from(is_serving(view, me));
        let others = view.serving.iter().filter(|member| member.node != me.node);
        let mut left: Vec<StoreMember> = others.cloned().collect();
        let mut copied = own;
        let mut rounds = 0;
        while self.is_current(view) {
            let mut failed = Vec::new();
            for source in std::mem::take(&mut left) {
                match self.copy_from(view, StoreSet::Next, &source).await {
                    Ok(()) => copied += 1,
                    Err(Interrupted) => failed.push(source),
                }
            }
            left = failed;
            rounds += 1;
            if left.is_empty() || (copied >= enough && rounds >= PATIENT_ROUNDS) {
                break;
            }
            tokio::time::sleep(COPY_PAUSE).await;
        }
        if copied >= enough && self.is_current(view) {
            tracing::info!(
                epoch = view.epoch.0,
                sources = copied,
                "copied all that belongs here"
            );
            self.copied_epoch.send_replace(Some(view.epoch));
        }
    }

    pub(super) fn is_current(&self, view: &StoreView) -> bool {
        self.state.borrow().view.epoch == view.epoch
    }
}
