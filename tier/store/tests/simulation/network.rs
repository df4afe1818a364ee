//! A simulated network: calls have latency, may be blocked by a partition or lost, and wait for frozen
//! machines.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use plankhill_conversations::account::Account;
use plankhill_conversations::peer::{PeerCall, PeerReply, PeerRequest, PeerResponse};
use plankhill_conversations::wire::{StoreRequest, StoreResponse};
use plankhill_protocol::ids::{NodeId, StoreEpoch};
use plankhill_protocol::store_calls::{StoreCall, StoreReply};
use plankhill_protocol::transport::CallError;
use plankhill_store::peers::Peers;
use tokio::sync::oneshot;

use super::{milliseconds, SeededBug, World};

/// Timeout of the calls of a test to one store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Default)]
pub struct Network {
    /// Machines whose messages reach no machine.
    pub outbound_blocked: BTreeSet<NodeId>,
    /// Machines that receive no messages.
    pub inbound_blocked: BTreeSet<NodeId>,
    /// Machines that receive no views from the control plane.
    pub control_blocked: BTreeSet<NodeId>,
    /// Percentage of messages that are lost.
    pub loss: u64,
    /// For each store the newest epoch in a refusal that the store has received.
    refused_by: BTreeMap<NodeId, StoreEpoch>,
}

impl World {
    /// Makes one call from a machine, or from a proxy if `from` is None.
    pub async fn call(
        self: &Rc<Self>,
        from: Option<NodeId>,
        to: SocketAddr,
        request: StoreRequest,
        timeout: Duration,
    ) -> Result<StoreResponse, CallError> {
        let (answer, answered) = oneshot::channel();
        let world = self.clone();
        // A message in flight arrives even if its sender has stopped waiting.
        tokio::task::spawn_local(async move {
            // The receiver is dropped if the sender has stopped waiting.
            let _ = answer.send(world.deliver(from, to, request).await);
        });
        match tokio::time::timeout(timeout, answered).await {
            Ok(Ok(outcome)) => outcome,
            _ => Err(CallError::NoAnswer),
        }
    }

    /// Calls a store as a proxy does.
    pub async fn call_as_proxy(self: &Rc<Self>, at: &NodeId, call: StoreCall) -> StoreReply {
        match self.call_store(at, StoreRequest::Proxy(call)).await {
            StoreResponse::Proxy(reply) => reply,
            StoreResponse::Peer(reply) => panic!("{reply:?}"),
        }
    }

    /// Calls a store as another store of the current view does.
    pub async fn call_as_peer(self: &Rc<Self>, at: &NodeId, body: PeerRequest) -> PeerResponse {
        let epoch = self.view.borrow().epoch;
        let call = PeerCall { epoch, body };
        match self.call_store(at, StoreRequest::Peer(call)).await {
            StoreResponse::Peer(reply) => reply.body,
            StoreResponse::Proxy(reply) => panic!("{reply:?}"),
        }
    }

    async fn call_store(self: &Rc<Self>, at: &NodeId, request: StoreRequest) -> StoreResponse {
        let address = self.machines.borrow()[at].member.address;
        let response = self.call(None, address, request, STORE_TIMEOUT).await;
        response.expect("a response")
    }

    async fn deliver(
        self: Rc<Self>,
        from: Option<NodeId>,
        to: SocketAddr,
        request: StoreRequest,
    ) -> Result<StoreResponse, CallError> {
        let to = self.node_at(to).ok_or(CallError::NotSent)?;
        self.transmit(from.as_ref(), Some(&to)).await;
        let request = self.tamper_with_request(&to, request);
        let queue = self
            .machines
            .borrow()
            .get(&to)
            .and_then(|machine| machine.call_queue());
        let (answer, answered) = oneshot::channel();
        queue
            .ok_or(CallError::NotSent)?
            .send((request, answer))
            .map_err(|_| CallError::NotSent)?;
        let answer = answered.await.map_err(|_| CallError::NoAnswer)?;
        self.transmit(Some(&to), from.as_ref()).await;
        Ok(self.tamper_with_answer(answer))
    }

    /// Transmits one message in one direction; never completes if the message is lost.
    async fn transmit(&self, from: Option<&NodeId>, to: Option<&NodeId>) {
        self.wait_until_unfrozen(from).await;
        tokio::time::sleep(milliseconds(self.random_range(1..5))).await;
        let lost = {
            let network = self.network.borrow();
            let is_blocked = from.is_some_and(|from| network.outbound_blocked.contains(from))
                || to.is_some_and(|to| network.inbound_blocked.contains(to));
            is_blocked || self.random_bool(network.loss)
        };
        if lost {
            std::future::pending::<()>().await;
        }
        self.wait_until_unfrozen(to).await;
    }

    async fn wait_until_unfrozen(&self, node: Option<&NodeId>) {
        let Some(node) = node else { return };
        let until = self
            .machines
            .borrow()
            .get(node)
            .and_then(|machine| machine.frozen_until);
        if let Some(until) = until {
            tokio::time::sleep_until(until).await;
        }
    }

    /// Checks that a store that has received a refusal sends no call with an older epoch.
    fn check_fence(&self, from: &NodeId, epoch: StoreEpoch) {
        let network = self.network.borrow();
        if let Some(refused_by) = network.refused_by.get(from) {
            assert!(
                epoch >= *refused_by,
                "FENCE: {from} calls with {epoch:?} after a refusal by {refused_by:?}"
            );
        }
    }

    fn record_refusal(&self, caller: NodeId, newer: StoreEpoch) {
        let mut network = self.network.borrow_mut();
        let refused_by = network.refused_by.entry(caller).or_insert(newer);
        *refused_by = newer.max(*refused_by);
    }

    /// Clears the refusals that a store has received, because its process has ended.
    pub fn clear_refusals(&self, node: &NodeId) {
        self.network.borrow_mut().refused_by.remove(node);
    }

    fn tamper_with_request(&self, to: &NodeId, mut request: StoreRequest) -> StoreRequest {
        if let StoreRequest::Peer(call) = &mut request {
            if self.bug == SeededBug::NoEpochFencing {
                let machines = self.machines.borrow();
                if let Some(node) = machines.get(to).and_then(|machine| machine.node()) {
                    call.epoch = node.view().epoch;
                }
            }
            if let (SeededBug::NoRepairs, PeerRequest::Repair(missed)) = (self.bug, &mut call.body)
            {
                missed.clear();
            }
        }
        request
    }

    fn tamper_with_answer(&self, mut answer: StoreResponse) -> StoreResponse {
        let StoreResponse::Peer(PeerReply { body, .. }) = &mut answer else {
            return answer;
        };
        match (self.bug, body) {
            (SeededBug::AccountsNotSent, PeerResponse::Account(account)) => {
                *account = Account::default()
            }
            (
                SeededBug::SameIncarnation | SeededBug::NoRepairs,
                PeerResponse::Programs(programs),
            ) => programs.clear(),
            _ => {}
        }
        answer
    }
}

/// The calls of one store to other stores, over the simulated network.
pub struct SimulatedPeers {
    pub world: Weak<World>,
    pub from: NodeId,
}

impl Peers for SimulatedPeers {
    fn call(
        &self,
        address: SocketAddr,
        call: PeerCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<PeerReply, CallError>> + 'static {
        let (world, from) = (self.world.upgrade(), self.from.clone());
        async move {
            let world = world.ok_or(CallError::NotSent)?;
            world.check_fence(&from, call.epoch);
            let caller = from.clone();
            match world
                .call(Some(from), address, StoreRequest::Peer(call), timeout)
                .await?
            {
                StoreResponse::Peer(reply) => {
                    if let PeerResponse::StaleEpoch(newer) = &reply.body {
                        world.record_refusal(caller, newer.epoch);
                    }
                    Ok(reply)
                }
                StoreResponse::Proxy(_) => Err(CallError::NoAnswer),
            }
        }
    }
}
