//! Writes to the replicas of a program.

use std::rc::Rc;

use plankhill_conversations::peer::{PeerRequest, PeerResponse};
use plankhill_conversations::quorum::WriteQuorum;
use plankhill_protocol::store_calls::TurnLocation;
use plankhill_protocol::tables::StoreView;

use crate::clock::Clock;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// The outcome of a write to a program's replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// A write quorum of every set of the view has synced the write.
    Written,
    TooFewReplicas,
    /// A replica has a newer view.
    ViewChanged,
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Writes an update of a turn to the replicas of its program; retries under the new view if the view changes
    /// during an attempt.
    pub(super) async fn write(
        self: &Rc<Self>,
        turn: &TurnLocation,
        request: &PeerRequest,
    ) -> WriteOutcome {
        loop {
            let view = self.view();
            match self.write_in_view(&view, turn, request).await {
                WriteOutcome::ViewChanged | WriteOutcome::TooFewReplicas
                    if self.views.epoch() > view.epoch => {}
                outcome => return outcome,
            }
        }
    }

    async fn write_in_view(
        self: &Rc<Self>,
        view: &StoreView,
        turn: &TurnLocation,
        request: &PeerRequest,
    ) -> WriteOutcome {
        let mut quorum = WriteQuorum::new(view, &turn.program);
        let mut replies = self.broadcast(view, quorum.members(), request, Some(turn));
        while let Some(member_reply) = replies.recv().await {
            let Some(reply) = member_reply.reply else {
                continue;
            };
            match reply.body {
                PeerResponse::Done => quorum.record_write(&member_reply.member, reply.incarnation),
                PeerResponse::StaleEpoch(_) => return WriteOutcome::ViewChanged,
                _ => {}
            }
            if quorum.is_reached() {
                return WriteOutcome::Written;
            }
        }
        WriteOutcome::TooFewReplicas
    }
}
