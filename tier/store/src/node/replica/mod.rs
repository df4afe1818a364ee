//! The replica's side of a call: replies to other stores, and to this store's own coordinator.

mod local_turns;
mod programs;
mod updates;

pub(in crate::node) use updates::RetentionExtension;

use std::rc::Rc;

use plankhill_conversations::peer::{PeerCall, PeerReply, PeerRequest, PeerResponse};
use plankhill_protocol::ids::StoreEpoch;
use plankhill_protocol::transport::CallReply;

use super::state::MissedUpdate;
use super::Node;
use crate::clock::Clock;
use crate::peers::Peers;
use crate::storage::Storage;

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Answers a call of another store, or of this store's own coordinator.
    pub(super) async fn handle_peer_call(self: Rc<Self>, call: PeerCall) -> CallReply<PeerReply> {
        let incarnation = self.identity.incarnation;
        let response = match self.check_epoch(&call) {
            Ok(()) => self.handle(call.epoch, call.body).await,
            Err(refusal) => refusal.into(),
        };
        CallReply {
            body: PeerReply {
                incarnation,
                body: response.body,
            },
            guard: response.guard,
        }
    }

    /// Checks the call's epoch, which is a fencing token: calls of other views are refused, so that no write
    /// quorum consists of replicas under different views. Repairs, hints and views are accepted under any
    /// epoch, because they only add to this store's state.
    ///
    /// # Errors
    /// The response with which the call is refused.
    fn check_epoch(&self, call: &PeerCall) -> Result<(), PeerResponse> {
        let is_unfenced = matches!(
            call.body,
            PeerRequest::Repair(_) | PeerRequest::InstallView(_) | PeerRequest::StoreHint { .. }
        );
        let view = self.views.borrow();
        if is_unfenced || call.epoch == view.epoch {
            Ok(())
        } else if call.epoch < view.epoch {
            Err(PeerResponse::StaleEpoch(view.clone()))
        } else {
            Err(PeerResponse::ReceiverStale)
        }
    }

    async fn handle(
        self: Rc<Self>,
        epoch: StoreEpoch,
        request: PeerRequest,
    ) -> CallReply<PeerResponse> {
        let response = match request {
            PeerRequest::Reserve {
                program,
                turn,
                max_tokens,
                previous,
            } => {
                self.reserve_locally(&program, &turn, max_tokens, previous.as_ref())
                    .await
            }
            PeerRequest::EndTurn(update) => self.merge_updates(vec![update]).await,
            PeerRequest::Repair(missed) => self.merge_updates(missed).await,
            PeerRequest::ReadChain { turn, max_bytes } => {
                return self.local_chain(&turn, max_bytes).await;
            }
            PeerRequest::LocateTurn { turn } => self.local_presence(&turn),
            PeerRequest::ExtendRetention { turn, retention_ms } => {
                let extension = RetentionExtension { turn, retention_ms };
                self.extend_locally(vec![extension]).await
            }
            PeerRequest::StoreHint {
                node,
                program,
                turn,
            } => {
                self.add_hint(&node, MissedUpdate { program, turn });
                PeerResponse::Done
            }
            PeerRequest::ListPrograms { set, store, after } => {
                self.list_programs(epoch, set, &store, after.as_ref()).await
            }
            PeerRequest::OutlinePrograms { programs } => self.outline_programs(&programs),
            PeerRequest::FetchTurns { turns } => self.fetch_turns(&turns),
            PeerRequest::InstallView(view) => {
                self.install_view(&view);
                PeerResponse::Done
            }
        };
        response.into()
    }
}
