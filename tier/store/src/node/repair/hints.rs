//! Recording of hints: which store has missed which update. An update is the end of a turn, or the extension of
//! its retention while a later turn continues it.

use std::rc::Rc;

use plankhill_conversations::keys::hint_key;
use plankhill_conversations::peer::{PeerReply, PeerRequest, PeerResponse};
use plankhill_conversations::placement::replicas;
use plankhill_conversations::rows::{RowChange, Table};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::store_calls::TurnLocation;
use plankhill_protocol::tables::{StoreMember, StoreView};

use crate::clock::Clock;
use crate::limits::PEER_TIMEOUT;
use crate::node::state::MissedUpdate;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Records that a store has missed an update.
    pub(in crate::node) fn add_hint(&self, node: &NodeId, update: MissedUpdate) {
        if *node == self.identity.node {
            return;
        }
        let key = hint_key(node, &update.program, &update.turn);
        if self.hints.borrow_mut().insert(node, update) {
            // No caller waits for a hint: its update is on the disks of a write quorum.
            self.rows
                .commit_best_effort(vec![RowChange::set(Table::Hints, key, &())]);
        }
    }

    /// Records a hint if a store has missed an update of a turn; called after each write to a store.
    ///
    /// The hint is stored at another replica of the program: at this store if it is a replica and did not
    /// miss the update itself, and otherwise at the first replica that is not the store in question.
    pub(in crate::node) fn hint_if_missed(
        self: &Rc<Self>,
        view: &StoreView,
        member: &StoreMember,
        turn: TurnLocation,
        reply: Option<&PeerReply>,
    ) {
        if is_received(reply) {
            return;
        }
        let missed = MissedUpdate {
            program: turn.program,
            turn: turn.turn,
        };
        let replicas = replicas(&view.serving, &missed.program, view.tolerated_faults);
        let own_address = self.identity.address;
        let is_replica_here = replicas
            .iter()
            .any(|replica| replica.address == own_address);
        if member.address != own_address && is_replica_here {
            self.add_hint(&member.node, missed);
            return;
        }
        let other = replicas
            .into_iter()
            .find(|replica| replica.node != member.node);
        if let Some(replica) = other {
            self.send_hint(view, replica, &member.node, missed);
        }
    }

    fn send_hint(
        self: &Rc<Self>,
        view: &StoreView,
        replica: &StoreMember,
        missed_by: &NodeId,
        update: MissedUpdate,
    ) {
        let request = PeerRequest::StoreHint {
            node: missed_by.clone(),
            program: update.program,
            turn: update.turn,
        };
        let node = self.clone();
        let view = view.clone();
        let replica = replica.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = node.call(&view, &replica, &request, PEER_TIMEOUT).await {
                tracing::debug!(node = %replica.node, %error, "sending a hint failed");
            }
        });
    }
}

/// Returns whether no hint is needed. After a refusal with a newer view the coordinator sends the request
/// to all replicas again.
fn is_received(reply: Option<&PeerReply>) -> bool {
    match reply {
        Some(reply) => matches!(
            reply.body,
            PeerResponse::Done | PeerResponse::Account(_) | PeerResponse::StaleEpoch(_)
        ),
        None => false,
    }
}
