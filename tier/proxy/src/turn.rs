//! A turn of an agent program, owned by the task of its stream. Before the turn is sent to a target,
//! [`Turn::begin`] reserves its tokens at the stores and fetches the history that it continues.
//! Afterwards the turn is settled ([`Turn::end`]): the stores commit the tokens that were delivered
//! in place of the reservation, and store the turn if it is retained and complete.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use plankhill_configuration::Route;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, TurnLifetime, TurnLocation, TurnRecord};
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn};
use tokio::time::Instant;

use crate::in_flight::WorkGuard;
use crate::request_headers::RequestHeaders;
use crate::turn_store::TurnStore;

/// Timeout for settling a turn in the background. A turn that stays unsettled is charged with its
/// reservation: possibly too much, never too little.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a turn is not sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TurnError {
    /// The budget has no room for another turn.
    #[error("the budget is exhausted")]
    BudgetExhausted,
    /// The turn named by `Previous` certainly does not exist.
    #[error("no such turn")]
    NoSuchTurn,
    /// Too few stores responded.
    #[error("the stores are unavailable")]
    StoresUnavailable,
    /// The client resumes a stream, but the stores do not have the events that it has.
    #[error("the events before the resumed stream are not known")]
    UnknownOutput,
}

/// The output of a turn that was delivered to its client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeliveredOutput {
    /// Number of events.
    pub events: u64,
    /// The data of each event, followed by a line feed.
    pub data: Vec<u8>,
    /// Whether the target's response was delivered completely.
    pub is_complete: bool,
}

/// A turn that reserves tokens at the stores or is stored by them.
pub struct Turn {
    store: Rc<dyn TurnStore>,
    program: ProgramId,
    turn: RequestId,
    reservation: Option<Reservation>,
    previous: Option<RequestId>,
    /// The location of the previous turn in the stores; set once the turn has begun.
    previous_location: Option<TurnLocation>,
    /// How long the turn is retained, on a route that retains turns.
    retention: Option<Duration>,
    tokens_per_event: u64,
    input: Bytes,
}

impl Turn {
    /// Creates the turn of a request with these headers. Returns `None` if the headers lack the
    /// program or the request id, or if the turn neither reserves tokens nor is retained.
    pub fn from_request(
        store: &Rc<dyn TurnStore>,
        route: &Route,
        headers: &RequestHeaders,
        tokens_per_event: u64,
        input: &Bytes,
    ) -> Option<Self> {
        let program = headers.program.clone()?;
        let turn = headers.request_id.clone()?;
        let reservation = reservation_of(headers);
        if reservation.is_none() && !route.retained {
            return None;
        }
        let previous = if route.retained {
            headers.previous.clone()
        } else {
            None
        };
        let retention = if route.retained {
            Some(route.retention)
        } else {
            None
        };
        Some(Turn {
            store: store.clone(),
            program,
            turn,
            reservation,
            previous,
            previous_location: None,
            retention,
            tokens_per_event,
            input: input.clone(),
        })
    }

    /// Whether the end of the response waits until the turn is stored.
    pub fn is_retained(&self) -> bool {
        self.retention.is_some()
    }

    /// Whether the stores must be called before the turn is sent.
    fn needs_begin(&self) -> bool {
        self.reservation.is_some() || self.previous.is_some()
    }

    /// Reserves tokens and fetches the previous turn until `until`; returns the body for the target. The
    /// turn ends by `deadline`.
    ///
    /// # Errors
    /// A [`TurnError`] if the turn must not be sent.
    pub async fn begin(&mut self, until: Instant, deadline: Instant) -> Result<Bytes, TurnError> {
        if !self.needs_begin() {
            return Ok(self.input.clone());
        }
        let now = Instant::now();
        let lifetime = self.retention.map(|retention| TurnLifetime {
            timeout_ms: whole_milliseconds(deadline.saturating_duration_since(now)),
            retention_ms: whole_milliseconds(retention),
        });
        let call = BeginTurn {
            program: self.program.clone(),
            turn: self.turn.clone(),
            reservation: self.reservation.clone(),
            previous: self.previous.clone(),
            lifetime,
        };
        let timeout = until.saturating_duration_since(now);
        match self.store.begin(call, timeout).await {
            BeginOutcome::Begun { history, previous } => {
                self.previous_location = previous;
                Ok(prepend_history(&history, &self.input))
            }
            BeginOutcome::BudgetExhausted => Err(TurnError::BudgetExhausted),
            BeginOutcome::NoSuchTurn => Err(TurnError::NoSuchTurn),
            BeginOutcome::Unavailable => Err(TurnError::StoresUnavailable),
        }
    }

    /// Settles the turn, and stores it if it is retained and complete; true once enough stores have
    /// acknowledged it, false if they have not by `until`.
    pub async fn end(&self, delivered: &DeliveredOutput, until: Instant) -> bool {
        let Some(call) = self.end_call(delivered) else {
            return true;
        };
        let timeout = until.saturating_duration_since(Instant::now());
        self.store.end(call, timeout).await == EndOutcome::Ended
    }

    /// Settles the turn in the background. `work` keeps the process running until then.
    pub fn settle_in_background(self, delivered: DeliveredOutput, work: WorkGuard) {
        tokio::task::spawn_local(async move {
            if !self.end(&delivered, Instant::now() + SETTLE_TIMEOUT).await {
                tracing::warn!(program = %self.program, turn = %self.turn, "turn not settled");
            }
            drop(work);
        });
    }

    /// The call that ends the turn at the stores; `None` if there is nothing to settle or to store.
    fn end_call(&self, delivered: &DeliveredOutput) -> Option<EndTurn> {
        let used_tokens = delivered.events.saturating_mul(self.tokens_per_event);
        let tokens = self.reservation.as_ref().map(|_| used_tokens);
        let record = match self.retention {
            Some(retention) if delivered.is_complete => Some(self.record(delivered, retention)),
            Some(_) | None => None,
        };
        if tokens.is_none() && record.is_none() {
            return None;
        }
        let program = self.program.clone();
        let turn = self.turn.clone();
        Some(EndTurn {
            program,
            turn,
            tokens,
            record,
        })
    }

    fn record(&self, delivered: &DeliveredOutput, retention: Duration) -> TurnRecord {
        TurnRecord {
            turn: self.turn.clone(),
            program: self.program.clone(),
            previous: self.previous_location.clone(),
            input: Arc::from(self.input.as_ref()),
            output: Arc::from(delivered.data.as_slice()),
            retention_ms: whole_milliseconds(retention),
        }
    }
}

/// Returns the budget of the `Budget` header with the maximum number of tokens that the turn
/// generates, which is the complete budget if the headers do not state it.
fn reservation_of(headers: &RequestHeaders) -> Option<Reservation> {
    let budget = headers.budget?;
    let max_tokens = match headers.usage {
        Some(usage) => usage.max_generated,
        None => budget,
    };
    Some(Reservation { budget, max_tokens })
}

fn whole_milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn prepend_history(history: &[u8], input: &Bytes) -> Bytes {
    if history.is_empty() {
        return input.clone();
    }
    let mut body = BytesMut::with_capacity(history.len() + input.len());
    body.extend_from_slice(history);
    body.extend_from_slice(input);
    body.freeze()
}
