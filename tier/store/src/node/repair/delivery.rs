//! Delivers what stores have missed, once they are back.

use std::collections::BTreeSet;
use std::rc::Rc;

use plankhill_conversations::peer::{EndedTurn, KeptTurn, PeerRequest, PeerResponse};
use plankhill_conversations::rows::{hint_key, RowChange, Table};
use plankhill_protocol::ids::{NodeId, ProgramId, RequestId};
use plankhill_protocol::tables::StoreMember;

use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::figures::{HINT_INTERVAL, MESSAGE_BYTES, PEER_TIMEOUT, REPAIR_TURNS};
use crate::peers::Peers;

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Delivers hints, for ever.
    pub async fn run_repair(self: Rc<Self>) {
        loop {
            tokio::time::sleep(HINT_INTERVAL).await;
            let nodes = self.state.borrow().hints.nodes();
            let delivering = nodes.into_iter().map(|node| {
                let this = self.clone();
                tokio::task::spawn_local(async move { this.repair(&node).await })
            });
            for delivery in delivering.collect::<Vec<_>>() {
                // A delivery that panicked is tried again like one that failed.
                let _ = delivery.await;
            }
        }
    }

    async fn repair(self: &Rc<Self>, node: &NodeId) {
        let Some(member) = self.member(node) else {
            self.drop_hints(node);
            return;
        };
        // Whether it is there at all, before turns are read and sent.
        if !self.send_repair(&member, Vec::new()).await {
            return;
        }
        loop {
            let missed = self.state.borrow().hints.first(node, REPAIR_TURNS);
            if missed.is_empty() {
                return;
            }
            let (taken, ended) = self.read_missed(missed);
            if !self.send_repair(&member, ended).await {
                return;
            }
            tracing::debug!(%node, turns = taken.len(), "missed turns delivered");
            self.remove_hints(node, &taken);
        }
    }

    async fn send_repair(self: &Rc<Self>, member: &StoreMember, ended: Vec<EndedTurn>) -> bool {
        let reply = self
            .ask(
                &self.view(),
                member,
                &PeerRequest::Repair(ended),
                PEER_TIMEOUT,
            )
            .await;
        matches!(reply.map(|reply| reply.body), Ok(PeerResponse::Done))
    }

    /// The member of the sets with this name, the newest life of it.
    fn member(&self, node: &NodeId) -> Option<StoreMember> {
        let state = self.state.borrow();
        let mut members = state.view.next.iter().flatten().chain(&state.view.serving);
        members.find(|member| member.node == *node).cloned()
    }

    /// Reads as many as go into one message.
    fn read_missed(
        &self,
        missed: Vec<(ProgramId, RequestId)>,
    ) -> (Vec<(ProgramId, RequestId)>, Vec<EndedTurn>) {
        let (mut taken, mut ended) = (Vec::new(), Vec::new());
        let mut bytes = 0;
        for (program, turn) in missed {
            let held = self.held(&program, &turn);
            bytes += held
                .kept
                .as_ref()
                .map_or(0, |kept| kept.record.input.len() + kept.record.output.len());
            taken.push((program, turn));
            ended.push(held);
            if bytes >= MESSAGE_BYTES {
                break;
            }
        }
        (taken, ended)
    }

    /// All that is here of a turn; what has expired since is of no use to anybody.
    fn held(&self, program: &ProgramId, turn: &RequestId) -> EndedTurn {
        let state = self
            .state
            .borrow()
            .index
            .account(program)
            .and_then(|account| account.state(turn));
        EndedTurn {
            program: program.clone(),
            turn: turn.clone(),
            state,
            kept: self.kept_here(turn),
        }
    }

    /// A turn with the time that it still has.
    pub(super) fn kept_here(&self, turn: &RequestId) -> Option<KeptTurn> {
        let expires_ms = self.state.borrow().index.turn(turn)?.expires_ms;
        let record = self.turn_here(turn)?;
        Some(KeptTurn {
            record,
            remaining_ms: expires_ms.saturating_sub(self.now_ms()),
        })
    }

    fn drop_hints(&self, node: &NodeId) {
        let missed: BTreeSet<_> = self
            .state
            .borrow()
            .hints
            .first(node, usize::MAX)
            .into_iter()
            .collect();
        self.remove_hints(node, &Vec::from_iter(missed));
    }

    fn remove_hints(&self, node: &NodeId, delivered: &[(ProgramId, RequestId)]) {
        let mut changes = Vec::new();
        for (program, turn) in delivered {
            self.state.borrow_mut().hints.remove(node, program, turn);
            changes.push(RowChange::remove(
                Table::Hints,
                hint_key(node, program, turn),
            ));
        }
        // A hint that comes back after a loss of power is delivered once more, which is harmless.
        drop(self.parts.disk.commit(changes));
    }
}
