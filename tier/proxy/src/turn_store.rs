//! The proxy's interface to the stores: a trait, so that tests can substitute another
//! implementation.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use plankhill_protocol::tables::StoreView;
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn, StoreClient};

/// A future that is not sent to other threads.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Stores turns and budgets. Calls are idempotent.
pub trait TurnStore {
    /// Replaces the view of the stores.
    fn set_view(&self, view: &StoreView);
    /// Reserves the turn's maximum number of tokens and fetches the history that the turn
    /// continues; [`BeginOutcome::Unavailable`] after `timeout`.
    fn begin(&self, turn: BeginTurn, timeout: Duration) -> LocalFuture<BeginOutcome>;
    /// Commits the turn's tokens and stores its record; [`EndOutcome::Unavailable`] after
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
