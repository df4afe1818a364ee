//! Delivery of missed updates to stores that are reachable again.

use std::rc::Rc;

use plankhill_conversations::keys::hint_key;
use plankhill_conversations::peer::{PeerRequest, PeerResponse, TurnUpdate};
use plankhill_conversations::rows::{RowChange, Table};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::tables::StoreMember;

use crate::clock::Clock;
use crate::limits::{HINT_DELIVERY_INTERVAL, MAX_MESSAGE_BYTES, MAX_REPAIR_UPDATES, PEER_TIMEOUT};
use crate::node::chain_segment::record_bytes;
use crate::node::state::MissedUpdate;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// Missed updates that fit into one message.
#[derive(Default)]
struct RepairBatch {
    hints: Vec<MissedUpdate>,
    /// The update of each hint, in the same order.
    updates: Vec<TurnUpdate>,
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Delivers hints at an interval, to all stores at the same time, until the node's task ends.
    pub(in crate::node) async fn run_hint_delivery(self: Rc<Self>) {
        loop {
            tokio::time::sleep(HINT_DELIVERY_INTERVAL).await;
            let nodes = self.hints.borrow().nodes();
            let mut deliveries = Vec::with_capacity(nodes.len());
            for node in nodes {
                let this = self.clone();
                let delivery = async move { this.deliver_hints(&node).await };
                deliveries.push(tokio::task::spawn_local(delivery));
            }
            for delivery in deliveries {
                // A delivery that panicked is retried like one that failed.
                let _ = delivery.await;
            }
        }
    }

    async fn deliver_hints(self: &Rc<Self>, node: &NodeId) {
        let Some(member) = self.find_member(node) else {
            // The store is no longer in the view.
            let hints = self.hints.borrow().first(node, usize::MAX);
            self.remove_hints(node, &hints);
            return;
        };
        // An empty repair checks whether the store is reachable before turns are read and sent.
        if !self.send_repair(&member, Vec::new()).await {
            return;
        }
        loop {
            let hints = self.hints.borrow().first(node, MAX_REPAIR_UPDATES);
            if hints.is_empty() {
                return;
            }
            let batch = self.read_repair_batch(hints);
            if !self.send_repair(&member, batch.updates).await {
                return;
            }
            tracing::debug!(%node, updates = batch.hints.len(), "missed updates delivered");
            self.remove_hints(node, &batch.hints);
        }
    }

    /// Sends updates to a store. Returns whether the store has synced them.
    async fn send_repair(self: &Rc<Self>, member: &StoreMember, updates: Vec<TurnUpdate>) -> bool {
        let request = PeerRequest::Repair(updates);
        match self
            .call(&self.view(), member, &request, PEER_TIMEOUT)
            .await
        {
            Ok(reply) => reply.body == PeerResponse::Done,
            Err(_) => false,
        }
    }

    /// Returns the store's entry in the view, preferably the one in the next set.
    fn find_member(&self, node: &NodeId) -> Option<StoreMember> {
        let view = self.views.borrow();
        let mut members = view.next.iter().flatten().chain(&view.serving);
        members.find(|member| member.node == *node).cloned()
    }

    /// Reads as many of the updates as fit into one message, at least one.
    fn read_repair_batch(&self, hints: Vec<MissedUpdate>) -> RepairBatch {
        let mut batch = RepairBatch::default();
        let mut bytes = 0;
        for hint in hints {
            let update = self.local_update(&hint);
            bytes += update
                .retained
                .as_ref()
                .map_or(0, |turn| record_bytes(&turn.record));
            batch.hints.push(hint);
            batch.updates.push(update);
            if bytes >= MAX_MESSAGE_BYTES {
                break;
            }
        }
        batch
    }

    /// Builds the update of a turn from this store's state; a part that has expired is left out.
    fn local_update(&self, hint: &MissedUpdate) -> TurnUpdate {
        TurnUpdate {
            program: hint.program.clone(),
            turn: hint.turn.clone(),
            state: self.turns.borrow().account_state(&hint.program, &hint.turn),
            retained: self.local_retained_turn(&hint.turn),
        }
    }

    fn remove_hints(&self, node: &NodeId, delivered: &[MissedUpdate]) {
        let mut changes = Vec::with_capacity(delivered.len());
        for hint in delivered {
            self.hints.borrow_mut().remove(node, hint);
            let key = hint_key(node, &hint.program, &hint.turn);
            changes.push(RowChange::remove(Table::Hints, key));
        }
        // If a power loss reverts the removal, the hint is delivered once more, which is harmless.
        self.rows.commit_best_effort(changes);
    }
}
