//! Stores that keep everything in memory and answer as a test says.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::tables::StoreView;
use plankhill_proxy::turn_store::{LocalFuture, TurnStore};
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn};
use tokio::sync::Notify;

/// What the proxy asked, and what it is answered.
#[derive(Default)]
pub struct Stores {
    pub begun: RefCell<Vec<BeginTurn>>,
    pub ended: RefCell<Vec<EndTurn>>,
    /// The answer to the next begins; a turn without history if none is set.
    pub next_begin: RefCell<Option<BeginOutcome>>,
    /// Whether ends are acknowledged.
    pub refuse_ends: Cell<bool>,
    end_came: Notify,
}

impl Stores {
    /// Returns the first end of a turn that was asked for.
    pub async fn first_end(&self) -> EndTurn {
        loop {
            if let Some(end) = self.ended.borrow().first() {
                return end.clone();
            }
            self.end_came.notified().await;
        }
    }
}

/// The stores as the proxy sees them.
pub struct InMemory(pub Rc<Stores>);

impl TurnStore for InMemory {
    fn set_view(&self, _view: &StoreView) {}

    fn begin(&self, turn: BeginTurn, _timeout: Duration) -> LocalFuture<BeginOutcome> {
        self.0.begun.borrow_mut().push(turn);
        let nothing = BeginOutcome::Begun {
            history: Arc::from([]),
            previous: None,
        };
        let outcome = self.0.next_begin.borrow().clone().unwrap_or(nothing);
        Box::pin(async { outcome })
    }

    fn end(&self, turn: EndTurn, _timeout: Duration) -> LocalFuture<EndOutcome> {
        self.0.ended.borrow_mut().push(turn);
        self.0.end_came.notify_one();
        let outcome = if self.0.refuse_ends.get() {
            EndOutcome::Unavailable
        } else {
            EndOutcome::Ended
        };
        Box::pin(async move { outcome })
    }
}
