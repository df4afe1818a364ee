//! The client itself.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use plankhill_protocol::ids::{NodeId, ProgramId, RequestId, StoreEpoch, ZoneName};
use plankhill_protocol::tables::StoreView;
use plankhill_protocol::transport::{Caller, Channel, Hello};
use plankhill_protocol::turns::{Reservation, StoreCall, StoreReply, TurnPlace, TurnRecord};
use plankhill_turns::wire::{StoreAnswer, StoreRequest};

use crate::choice::StoreChoice;

/// The longest that one store is waited for before the next one is asked: several round trips with syncs of
/// a slow disk, and a small part of the time that a turn has.
const LONGEST_CALL: Duration = Duration::from_millis(700);
/// Pause after all stores were asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(60);

/// What a turn needs before it may run.
#[derive(Clone, Debug)]
pub struct BeginTurn {
    /// The program.
    pub program: ProgramId,
    /// The turn's try.
    pub turn: RequestId,
    /// None on a route without budgets.
    pub reservation: Option<Reservation>,
    /// The `Request-Id` that `Previous` names.
    pub previous: Option<RequestId>,
}

/// How [`StoreClient::begin_turn`] ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The turn may run; the caller ends it with [`StoreClient::end_turn`] whatever becomes of it.
    Begun {
        /// Inputs and outputs of the chain, joined from the oldest on.
        history: Arc<[u8]>,
        /// What the turn's own record names as its previous turn.
        previous: Option<TurnPlace>,
    },
    /// 402.
    BudgetSpent,
    /// 404.
    NoSuchTurn,
    /// 503. If a reservation was asked for it may stand: the caller settles it with 0 tokens.
    Unsure,
}

/// What is to be kept of a turn that ended.
#[derive(Clone, Debug)]
pub struct EndTurn {
    /// The program.
    pub program: ProgramId,
    /// The turn's try.
    pub turn: RequestId,
    /// Tokens handed to the client; Some(0) for a turn that surely has not run; None without a reservation.
    pub tokens: Option<u64>,
    /// What later turns go on from; only for a turn answered whole on a retained route.
    pub record: Option<TurnRecord>,
}

/// How [`StoreClient::end_turn`] ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// On enough disks.
    Ended,
    /// Not known; the answer's last byte must not go to the client.
    Unsure,
}

type StoreCaller = Caller<StoreRequest, StoreAnswer>;

/// Calls the stores. Clones share everything. For one thread, inside a `LocalSet`.
#[derive(Clone)]
pub struct StoreClient {
    shared: Rc<Shared>,
}

struct Shared {
    node: NodeId,
    zone: ZoneName,
    epoch: RefCell<StoreEpoch>,
    choice: RefCell<StoreChoice>,
    callers: RefCell<HashMap<SocketAddr, StoreCaller>>,
}

impl StoreClient {
    /// A client of the proxy on this machine; it knows no stores before [`StoreClient::set_view`].
    pub fn new(node: NodeId, zone: ZoneName) -> Self {
        let shared = Shared {
            node,
            zone,
            epoch: RefCell::default(),
            choice: RefCell::default(),
            callers: RefCell::default(),
        };
        StoreClient { shared: Rc::new(shared) }
    }

    /// Takes the present view of the stores; older ones than the one held are ignored.
    pub fn set_view(&self, view: &StoreView) {
        let mut epoch = self.shared.epoch.borrow_mut();
        if view.epoch < *epoch {
            return;
        }
        *epoch = view.epoch;
        self.shared.choice.borrow_mut().set_view(view, &self.shared.zone);
        let known = |address: &SocketAddr| view.serving.iter().any(|member| member.address == *address);
        self.shared.callers.borrow_mut().retain(|address, _| known(address));
    }

    /// Whether any store is known.
    pub fn is_ready(&self) -> bool {
        !self.shared.choice.borrow().is_empty()
    }

    /// Reserves the turn's most and fetches what it goes on from; ends within `budget`.
    pub async fn begin_turn(&self, begin: BeginTurn, budget: Duration) -> BeginOutcome {
        let call = |epoch| StoreCall::BeginTurn {
            epoch,
            program: begin.program.clone(),
            turn: begin.turn.clone(),
            reservation: begin.reservation.clone(),
            previous: begin.previous.clone(),
        };
        match self.ask(call, budget).await {
            Some(StoreReply::Begun { history, previous }) => BeginOutcome::Begun { history, previous },
            Some(StoreReply::BudgetSpent) => BeginOutcome::BudgetSpent,
            Some(StoreReply::NoSuchTurn) => BeginOutcome::NoSuchTurn,
            _ => BeginOutcome::Unsure,
        }
    }

    /// Settles the turn and keeps its record; ends within `budget`.
    pub async fn end_turn(&self, end: EndTurn, budget: Duration) -> EndOutcome {
        let call = |epoch| StoreCall::EndTurn {
            epoch,
            program: end.program.clone(),
            turn: end.turn.clone(),
            tokens: end.tokens,
            record: end.record.clone(),
        };
        match self.ask(call, budget).await {
            Some(StoreReply::Ended) => EndOutcome::Ended,
            _ => EndOutcome::Unsure,
        }
    }

    /// Asks one store after the other until one knows; None when the time is up.
    async fn ask(&self, call: impl Fn(StoreEpoch) -> StoreCall, budget: Duration) -> Option<StoreReply> {
        let ends = Instant::now() + budget;
        loop {
            let order = self.shared.choice.borrow().order(Instant::now());
            for member in order {
                let left = ends.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return None;
                }
                let epoch = *self.shared.epoch.borrow();
                let request = StoreRequest::Proxy(call(epoch));
                let caller = self.caller(member.address);
                match caller.call(request, left.min(LONGEST_CALL)).await {
                    Ok(StoreAnswer::Proxy(StoreReply::Unsure | StoreReply::OldEpoch(_))) => {}
                    Ok(StoreAnswer::Proxy(reply)) => {
                        self.shared.choice.borrow_mut().answered(&member.node);
                        return Some(reply);
                    }
                    Ok(StoreAnswer::Peer(_)) | Err(_) => {
                        self.shared.choice.borrow_mut().failed(&member.node, Instant::now());
                    }
                }
            }
            let left = ends.saturating_duration_since(Instant::now());
            if left <= ROUND_PAUSE {
                return None;
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    fn caller(&self, address: SocketAddr) -> StoreCaller {
        let mut callers = self.shared.callers.borrow_mut();
        let fresh = || Caller::new(address, Hello::new(Channel::Store, self.shared.node.clone()));
        callers.entry(address).or_insert_with(fresh).clone()
    }
}
