//! Calls to one store or to several at once.

use std::rc::Rc;
use std::time::Duration;

use plankhill_conversations::peer::{PeerCall, PeerReply, PeerRequest, PeerResponse};
use plankhill_protocol::store_calls::TurnLocation;
use plankhill_protocol::tables::{StoreMember, StoreView};
use plankhill_protocol::transport::CallError;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::limits::PEER_TIMEOUT;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// The outcome of a call to one of several stores.
pub(super) struct MemberReply {
    /// The store's entry in the view.
    pub(super) member: StoreMember,
    /// The reply; None if the call failed or timed out.
    pub(super) reply: Option<PeerReply>,
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Sends a request to several stores. The receiver yields their replies as they arrive, and None after
    /// the last one; the channel has a slot for each store.
    ///
    /// Every call completes even if the receiver is dropped: the remaining replicas also receive the write,
    /// or a hint is recorded for those that miss it. `written` is the turn that the
    /// request updates, if it is a write.
    pub(super) fn broadcast(
        self: &Rc<Self>,
        view: &StoreView,
        members: Vec<StoreMember>,
        request: &PeerRequest,
        written: Option<&TurnLocation>,
    ) -> mpsc::Receiver<MemberReply> {
        let (replies, receiver) = mpsc::channel(members.len().max(1));
        for member in members {
            let node = self.clone();
            let view = view.clone();
            let request = request.clone();
            let written = written.cloned();
            let replies = replies.clone();
            tokio::task::spawn_local(async move {
                let reply = node.call(&view, &member, &request, PEER_TIMEOUT).await.ok();
                if let Some(turn) = written {
                    node.hint_if_missed(&view, &member, turn, reply.as_ref());
                }
                // The receiver is dropped once the caller has enough replies.
                let _ = replies.send(MemberReply { member, reply }).await;
            });
        }
        receiver
    }

    /// Calls one store. If that store's view is older, it is sent the caller's view before the call is
    /// repeated; if the reply contains a newer view, that view is installed here.
    ///
    /// Nothing is sent under a view once a newer one is installed here, which may come from another store's
    /// refusal: the caller has to start over under the newer view.
    ///
    /// # Errors
    /// [`CallError`] without a reply within `timeout`, which applies to each of up to three messages;
    /// [`CallError::NotSent`] if `view` is not the newest installed view.
    pub(in crate::node) async fn call(
        self: &Rc<Self>,
        view: &StoreView,
        member: &StoreMember,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, CallError> {
        let reply = self.send(view, member, request.clone(), timeout).await?;
        if reply.body != PeerResponse::ReceiverStale {
            return Ok(reply);
        }
        let install = PeerRequest::InstallView(view.clone());
        self.send(view, member, install, timeout).await?;
        self.send(view, member, request.clone(), timeout).await
    }

    /// Sends one message. If the reply refuses it for a stale epoch, the newer view in the reply is
    /// installed before anything else is sent.
    async fn send(
        self: &Rc<Self>,
        view: &StoreView,
        member: &StoreMember,
        body: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, CallError> {
        if view.epoch < self.views.epoch() {
            return Err(CallError::NotSent);
        }
        let call = PeerCall {
            epoch: view.epoch,
            body,
        };
        if member.address == self.identity.address {
            // Boxed because the future is recursive: a store may call itself while it answers a call.
            let reply = Box::pin(self.clone().handle_peer_call(call)).await;
            return Ok(reply.body);
        }
        let reply = self.peers.call(member.address, call, timeout).await?;
        if let PeerResponse::StaleEpoch(newer) = &reply.body {
            self.install_view(newer);
        }
        Ok(reply)
    }
}
