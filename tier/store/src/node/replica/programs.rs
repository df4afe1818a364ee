//! The answers to a store that copies what belongs to it.

use plankhill_conversations::peer::{PeerResponse, StoreSet};
use plankhill_conversations::placement::holds;
use plankhill_protocol::ids::{ProgramId, RequestId, StoreEpoch};
use plankhill_protocol::tables::StoreMember;

use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::figures::{MESSAGE_BYTES, PAGE_PROGRAMS};
use crate::peers::Peers;

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Lists what belongs to a store in a set. The view is on disk here before the answer, so that no write of
    /// an older one is taken any more, in this life or a later one.
    pub(super) async fn list_programs(
        &self,
        epoch: StoreEpoch,
        set: StoreSet,
        store: &StoreMember,
        after: Option<&ProgramId>,
    ) -> PeerResponse {
        self.durable(epoch).await;
        let state = self.state.borrow();
        let view = &state.view;
        let members = match set {
            StoreSet::Serving => Some(&view.serving),
            StoreSet::Next => view.next.as_ref(),
        };
        let Some(members) = members.filter(|_| view.epoch == epoch) else {
            return PeerResponse::OldEpoch(view.clone());
        };
        let belongs = |program: &ProgramId| holds(members, program, view.tolerated_faults, store);
        PeerResponse::Programs(state.index.list(after, PAGE_PROGRAMS, belongs))
    }

    pub(super) fn outline_programs(&self, programs: &[ProgramId]) -> PeerResponse {
        let state = self.state.borrow();
        let outlines = programs
            .iter()
            .filter_map(|program| state.index.outline(program));
        PeerResponse::Outlines(outlines.collect())
    }

    /// As many as go into one message, at least one; those that are gone or can't be read are left out.
    pub(super) fn fetch_turns(&self, turns: &[RequestId]) -> PeerResponse {
        let mut found = Vec::new();
        let mut bytes = 0;
        for turn in turns {
            if bytes >= MESSAGE_BYTES {
                break;
            }
            if let Some(kept) = self.kept_here(turn) {
                bytes += kept.record.input.len() + kept.record.output.len();
                found.push(kept);
            }
        }
        PeerResponse::Turns(found)
    }
}
