//! A turn of a program: what it reserves and fetches before it runs, settles and keeps afterwards.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use plankhill_configuration::Route;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, TurnLocation, TurnRecord};
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn};
use tokio::time::Instant;

use crate::facts::Facts;
use crate::life::Work;
use crate::turn_store::TurnStore;

/// How long a settlement is tried in the background. What stays unsettled counts at its most: too much, never
/// too little.
const SETTLE_FOR: Duration = Duration::from_secs(20);

/// Why a turn may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TurnRefusal {
    /// One more turn does not fit into the budget.
    #[error("the budget is spent")]
    BudgetSpent,
    /// `Previous` surely names no turn.
    #[error("no such turn")]
    NoSuchTurn,
    /// Too few stores answered.
    #[error("the stores cannot tell")]
    Unsure,
}

/// What a turn has handed to its client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Handed {
    /// Events.
    pub events: u64,
    /// The data of each event with a line feed behind.
    pub output: Vec<u8>,
    /// Whether the answer is whole.
    pub whole: bool,
}

/// A turn that the stores know of.
pub struct Turn {
    store: Rc<dyn TurnStore>,
    program: ProgramId,
    turn: RequestId,
    reservation: Option<Reservation>,
    previous: Option<RequestId>,
    place: Option<TurnLocation>,
    /// How long it is kept, on a route that keeps turns.
    retention: Option<Duration>,
    tokens_per_event: u64,
    input: Bytes,
}

impl Turn {
    /// The turn that a request is, if it is one that the stores have to know of.
    pub fn of(
        store: &Rc<dyn TurnStore>,
        route: &Route,
        facts: &Facts,
        tokens_per_event: u64,
        input: &Bytes,
    ) -> Option<Self> {
        let (program, turn) = (facts.program.clone()?, facts.request_id.clone()?);
        let reservation = facts.budget.map(|budget| {
            let most = facts.usage.map_or(budget, |usage| usage.most);
            Reservation {
                budget,
                max_tokens: most,
            }
        });
        if reservation.is_none() && !route.retained {
            return None;
        }
        Some(Turn {
            store: store.clone(),
            program,
            turn,
            reservation,
            previous: facts.previous.clone().filter(|_| route.retained),
            place: None,
            retention: route.retained.then_some(route.retention),
            tokens_per_event,
            input: input.clone(),
        })
    }

    /// Whether the end of the answer waits until the turn is kept.
    pub fn is_kept(&self) -> bool {
        self.retention.is_some()
    }

    /// Whether the stores have to know of it before it runs.
    fn needs_begin(&self) -> bool {
        self.reservation.is_some() || self.previous.is_some()
    }

    /// Reserves and fetches; returns the body for the target.
    ///
    /// # Errors
    /// Why the turn may not run.
    pub async fn begin(&mut self, until: Instant) -> Result<Bytes, TurnRefusal> {
        if !self.needs_begin() {
            return Ok(self.input.clone());
        }
        let call = BeginTurn {
            program: self.program.clone(),
            turn: self.turn.clone(),
            reservation: self.reservation.clone(),
            previous: self.previous.clone(),
        };
        let within = until.saturating_duration_since(Instant::now());
        match self.store.begin(call, within).await {
            BeginOutcome::Begun { history, previous } => {
                self.place = previous;
                Ok(joined(&history, &self.input))
            }
            BeginOutcome::BudgetExhausted => Err(TurnRefusal::BudgetSpent),
            BeginOutcome::NoSuchTurn => Err(TurnRefusal::NoSuchTurn),
            BeginOutcome::Unavailable => Err(TurnRefusal::Unsure),
        }
    }

    /// Settles and keeps; true once enough stores have acknowledged it, false if they have not by `until`.
    pub async fn end(&self, handed: &Handed, until: Instant) -> bool {
        let Some(call) = self.end_call(handed) else {
            return true;
        };
        let within = until.saturating_duration_since(Instant::now());
        self.store.end(call, within).await == EndOutcome::Ended
    }

    /// Settles in the background.
    pub fn settle(self, handed: Handed, work: Work) {
        tokio::task::spawn_local(async move {
            let _work = work;
            if !self.end(&handed, Instant::now() + SETTLE_FOR).await {
                tracing::warn!(program = %self.program, turn = %self.turn, "a turn stays unsettled");
            }
        });
    }

    fn end_call(&self, handed: &Handed) -> Option<EndTurn> {
        let tokens = self
            .reservation
            .as_ref()
            .map(|_| handed.events.saturating_mul(self.tokens_per_event));
        let record = self
            .retention
            .filter(|_| handed.whole)
            .map(|retention| self.record(handed, retention));
        if tokens.is_none() && record.is_none() {
            return None;
        }
        Some(EndTurn {
            program: self.program.clone(),
            turn: self.turn.clone(),
            tokens,
            record,
        })
    }

    fn record(&self, handed: &Handed, retention: Duration) -> TurnRecord {
        TurnRecord {
            turn: self.turn.clone(),
            program: self.program.clone(),
            previous: self.place.clone(),
            input: Arc::from(self.input.as_ref()),
            output: Arc::from(handed.output.as_slice()),
            retention_ms: u64::try_from(retention.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

fn joined(history: &[u8], input: &Bytes) -> Bytes {
    if history.is_empty() {
        return input.clone();
    }
    let mut body = BytesMut::with_capacity(history.len() + input.len());
    body.extend_from_slice(history);
    body.extend_from_slice(input);
    body.freeze()
}
