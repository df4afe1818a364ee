//! In-memory stores whose responses are set by a test.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::tables::StoreView;
use plankhill_proxy::turn_store::{LocalFuture, TurnStore};
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn};
use tokio::sync::Notify;

/// The calls made by the proxy, and the responses to them.
#[derive(Default)]
pub struct Stores {
    pub begun: RefCell<Vec<BeginTurn>>,
    pub ended: RefCell<Vec<EndTurn>>,
    /// The response to all further begin calls; a turn without history if `None`.
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
}

/// The store interface that is passed to the proxy.
pub struct InMemoryTurnStore(pub Rc<Stores>);

impl TurnStore for InMemoryTurnStore {
    fn set_view(&self, _view: &StoreView) {}

    fn begin(&self, turn: BeginTurn, _timeout: Duration) -> LocalFuture<BeginOutcome> {
        self.0.begun.borrow_mut().push(turn);
        let without_history = BeginOutcome::Begun {
            history: Arc::from([]),
            previous: None,
        };
        let outcome = self
            .0
            .next_begin
            .borrow()
            .clone()
            .unwrap_or(without_history);
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
