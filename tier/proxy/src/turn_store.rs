//! The stores as the proxy uses them: a trait, so that tests can put others in their place.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use plankhill_protocol::tables::StoreView;
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn, StoreClient};

/// A future for this thread only.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Keeps turns and budgets. Calls are idempotent.
pub trait TurnStore {
    /// Another view of the stores is in force from now on.
    fn set_view(&self, view: &StoreView);
    /// Reserves the turn's most tokens and fetches the turn that it follows;
    /// [`BeginOutcome::Unavailable`] after `timeout`.
    fn begin(&self, turn: BeginTurn, timeout: Duration) -> LocalFuture<BeginOutcome>;
    /// Settles the turn's budget and stores its record; [`EndOutcome::Unavailable`] after
    /// `timeout`.
    fn end(&self, turn: EndTurn, timeout: Duration) -> LocalFuture<EndOutcome>;
}

impl TurnStore for StoreClient {
    fn set_view(&self, view: &StoreView) {
        StoreClient::set_view(self, view);
    }

    fn begin(&self, turn: BeginTurn, timeout: Duration) -> LocalFuture<BeginOutcome> {
        let client = self.clone();
        Box::pin(async move { client.begin_turn(turn, timeout).await })
    }

    fn end(&self, turn: EndTurn, timeout: Duration) -> LocalFuture<EndOutcome> {
        let client = self.clone();
        Box::pin(async move { client.end_turn(turn, timeout).await })
    }
}
