//! Answers to a store that compares its programs with those of this store, or copies them.

use plankhill_conversations::peer::{PeerResponse, StoreSet};
use plankhill_conversations::placement::is_replica;
use plankhill_protocol::ids::{ProgramId, RequestId, StoreEpoch};
use plankhill_protocol::tables::StoreMember;

use crate::clock::Clock;
use crate::limits::{MAX_MESSAGE_BYTES, MAX_PAGE_ENTRIES};
use crate::node::chain_segment::record_bytes;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Lists the programs of this store of which `store` is a replica in a set of the view.
    ///
    /// The view is on disk here before the reply, so that neither this process nor a later one accepts a
    /// write of an older view any more: the caller would miss such a write.
    pub(super) async fn list_programs(
        &self,
        epoch: StoreEpoch,
        set: StoreSet,
        store: &StoreMember,
        after: Option<&ProgramId>,
    ) -> PeerResponse {
        self.views.wait_durable(epoch).await;
        let view = self.views.borrow();
        let members = match set {
            StoreSet::Serving => Some(&view.serving),
            StoreSet::Next => view.next.as_ref(),
        };
        // A newer view may have been installed while this one was being written.
        let Some(members) = members.filter(|_| view.epoch == epoch) else {
            return PeerResponse::StaleEpoch(view.clone());
        };
        let is_listed =
            |program: &ProgramId| is_replica(members, program, view.tolerated_faults, store);
        let turns = self.turns.borrow();
        PeerResponse::Programs(turns.list_programs(after, MAX_PAGE_ENTRIES, is_listed))
    }

    /// Returns the accounts of programs, and the ids and retention times of their retained turns; unknown
    /// programs are left out.
    pub(super) fn outline_programs(&self, programs: &[ProgramId]) -> PeerResponse {
        let turns = self.turns.borrow();
        let now_ms = self.now_ms();
        let mut outlines = Vec::new();
        let mut remaining_ms = Vec::new();
        for program in programs {
            if let Some(outline) = turns.outline(program) {
                outlines.push(outline);
                remaining_ms.push(turns.remaining_ms(program, now_ms));
            }
        }
        PeerResponse::Outlines {
            programs: outlines,
            remaining_ms: Some(remaining_ms),
        }
    }

    /// Returns as many of the turns as fit into one message, at least one. Turns that have expired or cannot
    /// be read are left out.
    pub(super) fn fetch_turns(&self, turns: &[RequestId]) -> PeerResponse {
        let mut found = Vec::new();
        let mut bytes = 0;
        for turn in turns {
            if bytes >= MAX_MESSAGE_BYTES {
                break;
            }
            if let Some(retained) = self.local_retained_turn(turn) {
                bytes += record_bytes(&retained.record);
                found.push(retained);
            }
        }
        PeerResponse::Turns(found)
    }
}
