//! In-memory stores that keep budgets and turns as the real ones do, unless a test sets their responses.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::ids::RequestId;
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};
use plankhill_protocol::tables::StoreView;
use plankhill_proxy::turn_store::{LocalFuture, TurnStore};
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn};
use tokio::sync::Notify;

/// The calls made by the proxy, and the responses to them.
#[derive(Default)]
pub struct Stores {
    pub begun: RefCell<Vec<BeginTurn>>,
    pub ended: RefCell<Vec<EndTurn>>,
    /// The response to all further begin calls; if `None`, it follows from the earlier calls.
    pub next_begin: RefCell<Option<BeginOutcome>>,
    /// Whether end calls fail as unavailable.
    pub fail_ends: Cell<bool>,
    end_received: Notify,
}

impl Stores {
    /// Waits for the first end call and returns it.
    pub async fn first_end(&self) -> EndTurn {
        loop {
            if let Some(end) = self.ended.borrow().first() {
                return end.clone();
            }
            self.end_received.notified().await;
        }
    }

    /// The stored record of a turn.
    pub fn record(&self, turn: &RequestId) -> Option<TurnRecord> {
        let ended = self.ended.borrow();
        let mut records = ended.iter().filter_map(|end| end.record.as_ref());
        records.find(|record| record.turn == *turn).cloned()
    }

    fn begin(&self, turn: &BeginTurn) -> BeginOutcome {
        if !self.fits_into_budget(turn) {
            return BeginOutcome::BudgetExhausted;
        }
        let Some(previous) = &turn.previous else {
            return BeginOutcome::Begun {
                history: Arc::from([]),
                previous: None,
            };
        };
        let Some(record) = self.record(previous) else {
            return BeginOutcome::NoSuchTurn;
        };
        BeginOutcome::Begun {
            history: Arc::from(self.history(&record)),
            previous: Some(TurnLocation {
                turn: record.turn,
                program: record.program,
            }),
        }
    }

    /// Whether the budget has room for the turn beside all other turns.
    fn fits_into_budget(&self, turn: &BeginTurn) -> bool {
        let Some(reservation) = &turn.reservation else {
            return true;
        };
        let begun = self.begun.borrow();
        let others = begun
            .iter()
            .filter(|other| other.program == turn.program && other.turn != turn.turn);
        let charged: u64 = others.map(|other| self.charged_tokens(other)).sum();
        charged + reservation.max_tokens <= reservation.budget
    }

    /// The tokens of a turn: those with which it has ended, or its most.
    fn charged_tokens(&self, turn: &BeginTurn) -> u64 {
        let ended = self.ended.borrow();
        let committed = ended
            .iter()
            .find(|end| end.program == turn.program && end.turn == turn.turn);
        match committed.and_then(|end| end.tokens) {
            Some(tokens) => tokens,
            None => turn.reservation.as_ref().map_or(0, |own| own.max_tokens),
        }
    }

    /// The inputs and outputs of a turn and all before it.
    fn history(&self, newest: &TurnRecord) -> Vec<u8> {
        let previous = newest.previous.as_ref();
        let earlier = previous.and_then(|location| self.record(&location.turn));
        let mut history = earlier.map_or_else(Vec::new, |earlier| self.history(&earlier));
        history.extend_from_slice(&newest.input);
        history.extend_from_slice(&newest.output);
        history
    }
}

/// The store interface that is passed to the proxy.
pub struct InMemoryTurnStore(pub Rc<Stores>);

impl TurnStore for InMemoryTurnStore {
    fn set_view(&self, _view: &StoreView) {}

    fn begin(&self, turn: BeginTurn, _timeout: Duration) -> LocalFuture<BeginOutcome> {
        let set_by_test = self.0.next_begin.borrow().clone();
        let outcome = set_by_test.unwrap_or_else(|| self.0.begin(&turn));
        self.0.begun.borrow_mut().push(turn);
        Box::pin(async { outcome })
    }

    fn end(&self, turn: EndTurn, _timeout: Duration) -> LocalFuture<EndOutcome> {
        self.0.ended.borrow_mut().push(turn);
        self.0.end_received.notify_one();
        let outcome = if self.0.fail_ends.get() {
            EndOutcome::Unavailable
        } else {
            EndOutcome::Ended
        };
        Box::pin(async move { outcome })
    }
}
