//! Which stores have missed what. What a hint stands for is read from this store when it is delivered.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use plankhill_conversations::peer::{PeerReply, PeerRequest, PeerResponse};
use plankhill_conversations::placement::replicas;
use plankhill_conversations::rows::{hint_key, RowChange, Table};
use plankhill_protocol::ids::{NodeId, ProgramId, RequestId};
use plankhill_protocol::tables::{StoreMember, StoreView};

use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::figures::{MOST_HINTS, PEER_TIMEOUT};
use crate::peers::Peers;

/// What one store has missed.
type Missed = BTreeSet<(ProgramId, RequestId)>;

/// All that stores have missed.
#[derive(Debug, Default)]
pub(super) struct Hints {
    missed: BTreeMap<NodeId, Missed>,
}

impl Hints {
    /// True if it is new and there is room for it.
    pub(super) fn add(&mut self, node: &NodeId, program: &ProgramId, turn: &RequestId) -> bool {
        let missed = self.missed.entry(node.clone()).or_default();
        missed.len() < MOST_HINTS && missed.insert((program.clone(), turn.clone()))
    }

    /// The first few that a store has missed.
    pub(super) fn first(&self, node: &NodeId, count: usize) -> Vec<(ProgramId, RequestId)> {
        self.missed.get(node).map_or_else(Vec::new, |missed| {
            missed.iter().take(count).cloned().collect()
        })
    }

    pub(super) fn remove(&mut self, node: &NodeId, program: &ProgramId, turn: &RequestId) {
        if let Some(missed) = self.missed.get_mut(node) {
            missed.remove(&(program.clone(), turn.clone()));
            if missed.is_empty() {
                self.missed.remove(node);
            }
        }
    }

    /// The stores that have missed something.
    pub(super) fn nodes(&self) -> Vec<NodeId> {
        self.missed.keys().cloned().collect()
    }

    pub(super) fn len(&self) -> usize {
        self.missed.values().map(BTreeSet::len).sum()
    }
}

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// What stores have missed as far as this one knows.
    pub fn hints_waiting(&self) -> usize {
        self.state.borrow().hints.len()
    }

    /// Remembers that a store has missed the end of a turn.
    pub(super) fn add_hint(&self, node: &NodeId, program: &ProgramId, turn: &RequestId) {
        if *node == self.parts.me.node || !self.state.borrow_mut().hints.add(node, program, turn) {
            return;
        }
        let change = RowChange::set(Table::Hints, hint_key(node, program, turn), &());
        // A hint is worth no waiting: what it stands for is on enough disks.
        drop(self.parts.disk.commit(vec![change]));
    }

    /// After a request to one store: a hint if that store has missed the end of a turn.
    pub(super) fn hint_if_missed(
        self: &Rc<Self>,
        view: &StoreView,
        member: &StoreMember,
        request: &PeerRequest,
        reply: Option<&PeerReply>,
    ) {
        let PeerRequest::End(ended) = request else {
            return;
        };
        let settled = matches!(
            reply.map(|reply| &reply.body),
            // With an older view the whole request is made anew.
            Some(PeerResponse::Done | PeerResponse::OldEpoch(_))
        );
        if settled {
            return;
        }
        let (program, turn) = (&ended.program, &ended.turn);
        let holds = replicas(&view.serving, program, view.tolerated_faults);
        let here = self.parts.me.address;
        if member.address != here && holds.iter().any(|holder| holder.address == here) {
            self.add_hint(&member.node, program, turn);
            return;
        }
        // This store does not hold the turn, or has missed it itself: one that holds it keeps the hint.
        let Some(holder) = holds
            .into_iter()
            .find(|holder| holder.node != member.node)
            .cloned()
        else {
            return;
        };
        let request = PeerRequest::KeepHint {
            node: member.node.clone(),
            program: program.clone(),
            turn: turn.clone(),
        };
        let (node, view) = (self.clone(), view.clone());
        tokio::task::spawn_local(async move {
            if node
                .ask(&view, &holder, &request, PEER_TIMEOUT)
                .await
                .is_err()
            {
                tracing::debug!(holder = %holder.node, "hint not kept");
            }
        });
    }
}
