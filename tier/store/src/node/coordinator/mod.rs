//! The coordinator's side of a proxy's call: sends requests to a program's replicas and derives the reply
//! from theirs.
//!
//! Any store may coordinate. The coordinator keeps no state of a call outside the call's future. Replicas
//! refuse calls whose epoch differs from their own, so a coordinator with an old view does no harm.

mod begin_turn;
mod broadcast;
mod chain;
mod chain_retention;
mod end_turn;
mod read_chain;
mod replicated_write;

use std::rc::Rc;

use plankhill_protocol::store_calls::{StoreCall, StoreReply};
use plankhill_protocol::transport::CallReply;

use super::Node;
use crate::clock::Clock;
use crate::limits::CALL_TIMEOUT;
use crate::peers::Peers;
use crate::storage::Storage;
use begin_turn::TurnStart;
use end_turn::TurnEnd;

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Answers a proxy. The proxy's epoch is ignored: the replicas check the epoch of the coordinator's
    /// view.
    pub(super) async fn handle_proxy_call(
        self: Rc<Self>,
        call: StoreCall,
    ) -> CallReply<StoreReply> {
        if self.views.borrow().serving.is_empty() {
            return StoreReply::Unavailable.into();
        }
        match tokio::time::timeout(CALL_TIMEOUT, self.coordinate(call)).await {
            Ok(reply) => reply,
            Err(_) => StoreReply::Unavailable.into(),
        }
    }

    async fn coordinate(self: &Rc<Self>, call: StoreCall) -> CallReply<StoreReply> {
        match call {
            StoreCall::BeginTurn {
                epoch: _,
                program,
                turn,
                reservation,
                previous,
                lifetime,
            } => {
                self.begin_turn(TurnStart {
                    program,
                    turn,
                    reservation,
                    previous,
                    lifetime,
                })
                .await
            }
            StoreCall::EndTurn {
                epoch: _,
                program,
                turn,
                tokens,
                record,
            } => {
                let end = TurnEnd {
                    program,
                    turn,
                    tokens,
                    record,
                };
                self.end_turn(end).await.into()
            }
        }
    }
}
