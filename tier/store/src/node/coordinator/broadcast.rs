//! One request to several stores at once. What is asked of a store goes on when the caller stops waiting.

use std::rc::Rc;
use std::time::Duration;

use plankhill_conversations::peer::{PeerCall, PeerReply, PeerRequest, PeerResponse};
use plankhill_protocol::tables::{StoreMember, StoreView};
use plankhill_protocol::transport::CallError;
use tokio::sync::mpsc;

use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::figures::PEER_TIMEOUT;
use crate::peers::Peers;

/// An answer of one of the stores.
pub(super) struct RoundReply {
    /// The store as the view names it.
    pub(super) member: StoreMember,
    /// None without an answer.
    pub(super) reply: Option<PeerReply>,
}

/// The answers to one request, as they come; None after the last.
pub(super) type Round = mpsc::Receiver<RoundReply>;

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Asks all of them.
    pub(super) fn ask_all(
        self: &Rc<Self>,
        view: &StoreView,
        members: Vec<StoreMember>,
        request: &PeerRequest,
    ) -> Round {
        let (replies, round) = mpsc::channel(members.len().max(1));
        for member in members {
            let (node, view, request, replies) =
                (self.clone(), view.clone(), request.clone(), replies.clone());
            tokio::task::spawn_local(async move {
                let reply = node.ask(&view, &member, &request, PEER_TIMEOUT).await.ok();
                node.hint_if_missed(&view, &member, &request, reply.as_ref());
                // The caller may have heard enough.
                let _ = replies.send(RoundReply { member, reply }).await;
            });
        }
        round
    }

    /// Asks one store. One that is behind gets the view first; a newer view in the answer is taken.
    pub(super) async fn ask(
        self: &Rc<Self>,
        view: &StoreView,
        member: &StoreMember,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, CallError> {
        let reply = self.send(view, member, request.clone(), timeout).await?;
        match &reply.body {
            PeerResponse::OldEpoch(newer) => self.take_view(newer),
            PeerResponse::Behind => {
                self.send(view, member, PeerRequest::TakeView(view.clone()), timeout)
                    .await?;
                return self.send(view, member, request.clone(), timeout).await;
            }
            _ => {}
        }
        Ok(reply)
    }

    async fn send(
        self: &Rc<Self>,
        view: &StoreView,
        member: &StoreMember,
        body: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, CallError> {
        let call = PeerCall {
            epoch: view.epoch,
            body,
        };
        if member.address == self.parts.me.address {
            // Boxed: a store may ask itself on behalf of a call that it answers.
            return Ok(Box::pin(self.clone().answer_peer(call)).await);
        }
        self.parts.peers.call(member.address, call, timeout).await
    }
}
