//! The stores as the proxy uses them, so that tests can put others in their place.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use plankhill_protocol::tables::StoreView;
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn, StoreClient};

/// A future for this thread only.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Keeps turns and budgets. Repeating a call is harmless.
pub trait TurnStore {
    /// Another view of the stores holds from now on.
    fn view_changed(&self, view: &StoreView);
    /// Reserves the turn's most and fetches what it goes on from; [`BeginOutcome::Unsure`] after `within`.
    fn begin(&self, turn: BeginTurn, within: Duration) -> LocalFuture<BeginOutcome>;
    /// Settles the turn's budget and keeps what is to be kept; [`EndOutcome::Unsure`] after `within`.
    fn end(&self, turn: EndTurn, within: Duration) -> LocalFuture<EndOutcome>;
}

impl TurnStore for StoreClient {
    fn view_changed(&self, view: &StoreView) {
        self.set_view(view);
    }

    fn begin(&self, turn: BeginTurn, within: Duration) -> LocalFuture<BeginOutcome> {
        let client = self.clone();
        Box::pin(async move { client.begin_turn(turn, within).await })
    }

    fn end(&self, turn: EndTurn, within: Duration) -> LocalFuture<EndOutcome> {
        let client = self.clone();
        Box::pin(async move { client.end_turn(turn, within).await })
    }
}
