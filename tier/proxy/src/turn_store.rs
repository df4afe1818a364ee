//! The stores as the proxy uses them, so that tests can put others in their place.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::tables::StoreView;
use plankhill_protocol::turns::{Reservation, StoreReply, TurnRecord};

/// A future for this thread only.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// The beginning of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BeginTurn {
    /// The program.
    pub program: ProgramId,
    /// The turn's try.
    pub turn: RequestId,
    /// None on a route without budgets.
    pub reservation: Option<Reservation>,
    /// What it goes on from.
    pub previous: Option<RequestId>,
}

/// The end of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndTurn {
    /// The program.
    pub program: ProgramId,
    /// The turn's try.
    pub turn: RequestId,
    /// Tokens handed to the client; none where nothing was reserved.
    pub tokens: Option<u64>,
    /// What is to be kept.
    pub record: Option<TurnRecord>,
}

/// Keeps turns and budgets. Repeating a call is harmless.
pub trait TurnStore {
    /// Another view of the stores holds from now on.
    fn view_changed(&self, view: &StoreView);
    /// Reserves the turn's most and fetches what it goes on from; [`StoreReply::Unsure`] after `within`.
    fn begin(&self, turn: BeginTurn, within: Duration) -> LocalFuture<StoreReply>;
    /// Settles the turn's budget and keeps what is to be kept; [`StoreReply::Unsure`] after `within`.
    fn end(&self, turn: EndTurn, within: Duration) -> LocalFuture<StoreReply>;
}

/// Keeps nothing: stands in for the stores.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unstored;

impl TurnStore for Unstored {
    fn view_changed(&self, _view: &StoreView) {}

    fn begin(&self, _turn: BeginTurn, _within: Duration) -> LocalFuture<StoreReply> {
        Box::pin(async { StoreReply::Begun { history: std::sync::Arc::from([]), previous: None } })
    }

    fn end(&self, _turn: EndTurn, _within: Duration) -> LocalFuture<StoreReply> {
        Box::pin(async { StoreReply::Ended })
    }
}
