//! An in-memory control log and shared test values.
#![allow(dead_code, unused_imports)]

mod documents;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
pub use documents::{configuration, configuration_with, document, route, route_with};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use plankhill_control::{ControlState, Operation, Outcome};
use plankhill_controller::admin::{handle_request, BodyBudget};
use plankhill_controller::control_log::ChainStatus;
use plankhill_controller::{CommittedControlState, ControlLog, Controller};
use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};
use plankhill_protocol::tables::{Edge, StoreMember};
use plankhill_protocol::transport::Connection;
use plankhill_replica::{CommittedState, Unavailable};
use tokio::sync::watch;

/// A log that commits each operation immediately, unless the controller is partitioned.
#[derive(Clone)]
pub struct MemoryLog {
    shared: Rc<RefCell<Shared>>,
    state: watch::Sender<Arc<CommittedControlState>>,
    reachable: watch::Sender<bool>,
}

struct Shared {
    chain_status: ChainStatus,
    proposals: Vec<Operation>,
    proposal_delay: Duration,
}

impl MemoryLog {
    pub fn new() -> Self {
        let shared = Shared {
            chain_status: ChainStatus::default(),
            proposals: Vec::new(),
            proposal_delay: Duration::ZERO,
        };
        let (state, _) = watch::channel(Arc::new(CommittedState::empty()));
        let (reachable, _) = watch::channel(true);
        MemoryLog {
            shared: Rc::new(RefCell::new(shared)),
            state,
            reachable,
        }
    }

    /// Partitions the controller from the other controllers, or ends the partition.
    pub fn set_reachable(&self, reachable: bool) {
        self.reachable.send_replace(reachable);
    }

    pub fn set_chain_status(&self, chain_status: ChainStatus) {
        self.shared.borrow_mut().chain_status = chain_status;
    }

    pub fn proposal_count(&self) -> usize {
        self.shared.borrow().proposals.len()
    }

    /// Sets the time from a proposal to its outcome, for all later proposals.
    pub fn set_proposal_delay(&self, proposal_delay: Duration) {
        self.shared.borrow_mut().proposal_delay = proposal_delay;
    }

    /// Returns the views of the proposed singleton tasks, in order.
    pub fn singleton_views(&self) -> Vec<u64> {
        let shared = self.shared.borrow();
        let views = shared
            .proposals
            .iter()
            .filter_map(|proposal| match proposal {
                Operation::SingletonTask { view, .. } => Some(*view),
                _ => None,
            });
        views.collect()
    }

    pub fn commit(&self, operation: &Operation) -> Outcome {
        let before = self.state.borrow().clone();
        let mut after = CommittedState::<ControlState>::empty();
        after.revision.0 = before.revision.0 + 1;
        let mut state = (*before.state).clone();
        let outcome = state.apply(after.revision, operation);
        after.state = Arc::new(state);
        self.state.send_replace(Arc::new(after));
        outcome
    }

    pub fn control_state(&self) -> Arc<ControlState> {
        self.state.borrow().state.clone()
    }
}

impl ControlLog for MemoryLog {
    async fn propose(
        &self,
        operation: Operation,
        _timeout: Duration,
    ) -> Result<Outcome, Unavailable> {
        if !*self.reachable.borrow() {
            return Err(Unavailable);
        }
        let proposal_delay = {
            let mut shared = self.shared.borrow_mut();
            shared.proposals.push(operation.clone());
            shared.proposal_delay
        };
        if !proposal_delay.is_zero() {
            tokio::time::sleep(proposal_delay).await;
        }
        Ok(self.commit(&operation))
    }

    fn state(&self) -> watch::Receiver<Arc<CommittedControlState>> {
        self.state.subscribe()
    }

    async fn read(&self, _timeout: Duration) -> Result<Arc<CommittedControlState>, Unavailable> {
        if *self.reachable.borrow() {
            Ok(self.state.borrow().clone())
        } else {
            Err(Unavailable)
        }
    }

    fn is_current(&self) -> bool {
        *self.reachable.borrow()
    }

    fn watch_current(&self) -> watch::Receiver<bool> {
        self.reachable.subscribe()
    }

    fn chain_status(&self) -> ChainStatus {
        self.shared.borrow().chain_status.clone()
    }

    async fn serve_chain(&self, _connection: Connection) {}
}

/// A controller with an in-memory log, whose admin interface is called without a network.
pub struct ControllerHarness {
    pub log: MemoryLog,
    pub controller: Rc<Controller<MemoryLog>>,
    budget: BodyBudget,
}

/// A response of the admin interface.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub retry_after: bool,
    pub body: String,
}

impl ControllerHarness {
    pub fn new() -> Self {
        let log = MemoryLog::new();
        let controller = Controller::new(NodeId::from("core-1"), 1, log.clone());
        ControllerHarness {
            log,
            controller,
            budget: BodyBudget::new(32 << 20),
        }
    }

    pub fn call(&self, method: &str, path: &str, body: impl Into<Bytes>) -> Response {
        self.call_on(method, path, None, body)
    }

    pub fn put_configuration(&self, expected: u64, body: impl Into<Bytes>) -> Response {
        self.call_on("PUT", "/-/config", Some(expected), body)
    }

    fn call_on(
        &self,
        method: &str,
        path: &str,
        expected: Option<u64>,
        body: impl Into<Bytes>,
    ) -> Response {
        let mut request = Request::builder().method(method).uri(path);
        if let Some(expected) = expected {
            request = request.header("If-Match", expected.to_string());
        }
        let request = request.body(Full::new(body.into())).unwrap();
        block_on(async {
            let response = handle_request(&*self.controller, &self.budget, request).await;
            let status = response.status();
            let retry_after = response.headers().contains_key("retry-after");
            let body = response.into_body().collect().await.unwrap().to_bytes();
            Response {
                status,
                retry_after,
                body: String::from_utf8(body.to_vec()).unwrap(),
            }
        })
    }
}

pub fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

pub fn heartbeat(state: &str, sequence: u64) -> String {
    format!(
        r#"{{"service":"tools","address":"10.0.0.9:8080","zone":"a","version":"v1","capacity":8,"state":"{state}","cold_remaining_ms":0,"sequence":{sequence}}}"#
    )
}

pub fn store(node: &str, incarnation: u64) -> StoreMember {
    StoreMember {
        node: NodeId::from(node),
        incarnation: Incarnation(incarnation),
        address: ([10, 0, 0, 3], 7001).into(),
        zone: ZoneName::from("a"),
    }
}

pub fn edge(node: &str, incarnation: u64) -> Edge {
    Edge {
        node: NodeId::from(node),
        incarnation: Incarnation(incarnation),
        address: ([10, 0, 0, 2], 7002).into(),
        zone: ZoneName::from("a"),
    }
}

/// Returns a put of an empty document, which the log accepts but the admin interface does not.
pub fn put(expected: u64, version: u64) -> Operation {
    Operation::PutConfiguration {
        expected,
        version,
        document: Arc::from(&b"{}"[..]),
    }
}

pub fn register_store(member: &StoreMember) -> Operation {
    Operation::RegisterStore {
        member: member.clone(),
        tolerated_faults: 1,
    }
}
