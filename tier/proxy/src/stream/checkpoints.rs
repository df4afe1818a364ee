//! Checkpoints of a stream that can be resumed and whose turn is retained: the stores have each event
//! before the client gets it.
//!
//! A client whose connection breaks resumes its stream at any proxy with `Last-Event-Id`. The target then
//! generates the later events only, but the record of the turn needs the earlier ones too, and the proxy
//! that forwarded them may be gone. Therefore each event is stored before it is forwarded, as a turn that
//! continues that of the event before ([`StreamKey`] has the names). The history of an event, which is the
//! data of all events up to it, is what a resumed stream has delivered already.
//!
//! Each attempt of the client has a generation, which it claims at the stores: the generation's program has
//! a budget for a single turn, and a budget is granted once. Hence no two attempts store events under the
//! same name, and attempts that are resumed from each other are told apart.
//!
//! Invariant: a client has an event only if the stores have it in the generation of the client's attempt.
//! An attempt that cannot store an event does not forward it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::ids::RequestId;
use plankhill_protocol::store_calls::{Reservation, TurnLifetime, TurnLocation, TurnRecord};
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::events::Event;
use super::stream_key::StreamKey;
use crate::turn_store::TurnStore;

/// Maximum number of attempts at one turn whose events are stored: more than a client makes.
const MAX_GENERATIONS: u32 = 16;
/// Maximum time for which a stream can be resumed after its newest event; a client resumes it before its
/// deadline. The stores keep a claim for longer, so that no later attempt claims a generation that still
/// has events.
const MAX_RESUMPTION_TIMEOUT: Duration = Duration::from_secs(180);
/// Interval at which a running stream repeats its claim, which the stores drop after five minutes.
const CLAIM_INTERVAL: Duration = Duration::from_secs(30);
/// The budget of a generation, and the tokens of the one turn that can claim it.
const CLAIM: Reservation = Reservation {
    budget: 1,
    max_tokens: 1,
};

/// Why a stream cannot begin or continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CheckpointError {
    /// The stores did not acknowledge a call in time.
    #[error("the stores are unavailable")]
    StoresUnavailable,
    /// The stores have no events up to the one after which the stream is to resume, or have different ones
    /// from several attempts.
    #[error("the events before the resumed stream are not known")]
    UnknownOutput,
}

/// An attempt of a client at a turn whose stream can be resumed.
#[derive(Clone, Debug)]
pub(super) struct ClientAttempt {
    pub(super) key: StreamKey,
    pub(super) request_id: RequestId,
    /// The last event that the client has, if it resumes the stream.
    pub(super) last_event_id: Option<u64>,
    /// The deadline of the request.
    pub(super) deadline: Instant,
}

impl ClientAttempt {
    /// How long the stream can be resumed from now on, in milliseconds.
    fn resumption_timeout_ms(&self) -> u64 {
        let timeout = time_until(self.deadline).min(MAX_RESUMPTION_TIMEOUT);
        timeout.as_millis() as u64
    }
}

/// The checkpoints of an attempt, and what the client has from earlier ones.
pub(super) struct BegunStream {
    /// The checkpoints; `None` after more attempts than are kept, so that the stream cannot be resumed.
    pub(super) checkpoints: Option<StreamCheckpoints>,
    /// The data of the events up to `last_event_id`.
    pub(super) earlier_output: Arc<[u8]>,
}

/// Stores the events of one attempt. Owned by the stream's task.
pub(super) struct StreamCheckpoints {
    store: Rc<dyn TurnStore>,
    attempt: ClientAttempt,
    generation: u32,
    claimed_at: Instant,
    /// The event that was stored last, by this attempt or by the one that it resumes.
    newest: Option<TurnLocation>,
    /// The data of events without an id, which the next event with an id is stored with.
    data: Vec<u8>,
    unsaved: Vec<EndTurn>,
}

/// Claims the next generation and, if the client resumes a stream, reads the events that it has.
///
/// # Errors
/// A [`CheckpointError`] if the stream must not begin.
pub(super) async fn begin(
    store: &Rc<dyn TurnStore>,
    attempt: ClientAttempt,
    until: Instant,
) -> Result<BegunStream, CheckpointError> {
    let claimed = claim_next(store.as_ref(), &attempt, until).await?;
    let earlier = match (claimed, attempt.last_event_id) {
        (Some(generation), Some(id)) => {
            Some(read_earlier(store.as_ref(), &attempt, generation, id, until).await?)
        }
        // An attempt without a generation may have followed those that are stored.
        (None, Some(_)) => return Err(CheckpointError::UnknownOutput),
        (_, None) => None,
    };
    let (earlier_output, newest) = match earlier {
        Some(earlier) => (earlier.output, Some(earlier.location)),
        None => (Arc::from([]), None),
    };
    let checkpoints = claimed.map(|generation| StreamCheckpoints {
        store: store.clone(),
        attempt,
        generation,
        claimed_at: Instant::now(),
        newest,
        data: Vec::new(),
        unsaved: Vec::new(),
    });
    Ok(BegunStream {
        checkpoints,
        earlier_output,
    })
}

impl StreamCheckpoints {
    /// Adds an event that is to be forwarded after the next [`StreamCheckpoints::save`].
    pub(super) fn push(&mut self, event: &Event) {
        event.append_data(&mut self.data);
        let Some(event_id) = event.id else {
            return;
        };
        let program = self.attempt.key.program(self.generation);
        let turn = self.attempt.key.event(self.generation, event_id);
        let location = TurnLocation {
            turn: turn.clone(),
            program: program.clone(),
        };
        let record = TurnRecord {
            turn: turn.clone(),
            program: program.clone(),
            previous: self.newest.replace(location),
            input: Arc::from([]),
            output: Arc::from(std::mem::take(&mut self.data)),
            retention_ms: self.attempt.resumption_timeout_ms(),
        };
        self.unsaved.push(EndTurn {
            program,
            turn,
            tokens: None,
            record: Some(record),
        });
    }

    /// Stores the events that were added.
    ///
    /// # Errors
    /// [`CheckpointError::StoresUnavailable`] if the stores have not acknowledged them by the deadline of
    /// the request; they must not be forwarded.
    pub(super) async fn save(&mut self) -> Result<(), CheckpointError> {
        if self.unsaved.is_empty() {
            return Ok(());
        }
        self.repeat_claim().await?;
        let timeout = time_until(self.attempt.deadline);
        let mut writes = JoinSet::new();
        for event in self.unsaved.drain(..) {
            writes.spawn_local(self.store.end(event, timeout));
        }
        let outcomes = writes.join_all().await;
        if outcomes.contains(&EndOutcome::Unavailable) {
            return Err(CheckpointError::StoresUnavailable);
        }
        Ok(())
    }

    /// Repeats the claim, so that the stores keep it. Attempts that have tried to claim the generation since then
    /// do not matter: it was granted to this one first.
    async fn repeat_claim(&mut self) -> Result<(), CheckpointError> {
        if self.claimed_at.elapsed() < CLAIM_INTERVAL {
            return Ok(());
        }
        let now = Instant::now();
        let deadline = self.attempt.deadline;
        claim(
            self.store.as_ref(),
            &self.attempt,
            self.generation,
            deadline,
        )
        .await?;
        self.claimed_at = now;
        Ok(())
    }
}

/// The outcome of a claim of a generation.
enum Claim {
    Granted,
    /// Another attempt has claimed the generation, or tries to at the same time.
    Taken,
}

/// Claims the first generation that no other attempt has claimed; `None` if there is none.
async fn claim_next(
    store: &dyn TurnStore,
    attempt: &ClientAttempt,
    until: Instant,
) -> Result<Option<u32>, CheckpointError> {
    for generation in 0..MAX_GENERATIONS {
        match claim(store, attempt, generation, until).await? {
            Claim::Granted => return Ok(Some(generation)),
            Claim::Taken => {}
        }
    }
    Ok(None)
}

async fn claim(
    store: &dyn TurnStore,
    attempt: &ClientAttempt,
    generation: u32,
    until: Instant,
) -> Result<Claim, CheckpointError> {
    let call = BeginTurn {
        program: attempt.key.program(generation),
        turn: attempt.request_id.clone(),
        reservation: Some(CLAIM),
        previous: None,
        lifetime: None,
    };
    match store.begin(call, time_until(until)).await {
        BeginOutcome::Begun { .. } => Ok(Claim::Granted),
        BeginOutcome::BudgetExhausted => Ok(Claim::Taken),
        BeginOutcome::NoSuchTurn | BeginOutcome::Unavailable => {
            Err(CheckpointError::StoresUnavailable)
        }
    }
}

/// The events that an earlier attempt has delivered.
struct EarlierEvents {
    output: Arc<[u8]>,
    /// The last one of them.
    location: TurnLocation,
}

/// Reads the events up to `event_id` from the newest generation before `generation` that has this event.
///
/// A generation without the event has not delivered it. If several have it with different data, it is not
/// known which of them the client has: an attempt may run on for a while after its client has left.
async fn read_earlier(
    store: &dyn TurnStore,
    attempt: &ClientAttempt,
    generation: u32,
    event_id: u64,
    until: Instant,
) -> Result<EarlierEvents, CheckpointError> {
    let mut newest: Option<EarlierEvents> = None;
    for earlier in (0..generation).rev() {
        let found = read_generation(store, attempt, earlier, event_id, until).await?;
        match (&newest, found) {
            (_, None) => {}
            (None, found) => newest = found,
            (Some(newest), Some(found)) if newest.output == found.output => {}
            (Some(_), Some(_)) => return Err(CheckpointError::UnknownOutput),
        }
    }
    newest.ok_or(CheckpointError::UnknownOutput)
}

/// Reads the events of one generation up to `event_id`; `None` if it does not have that event.
async fn read_generation(
    store: &dyn TurnStore,
    attempt: &ClientAttempt,
    generation: u32,
    event_id: u64,
    until: Instant,
) -> Result<Option<EarlierEvents>, CheckpointError> {
    let call = BeginTurn {
        program: attempt.key.program(generation),
        turn: attempt.request_id.clone(),
        reservation: None,
        previous: Some(attempt.key.event(generation, event_id)),
        lifetime: Some(TurnLifetime {
            timeout_ms: attempt.resumption_timeout_ms(),
            retention_ms: 0,
        }),
    };
    match store.begin(call, time_until(until)).await {
        BeginOutcome::Begun {
            history,
            previous: Some(location),
        } => Ok(Some(EarlierEvents {
            output: history,
            location,
        })),
        BeginOutcome::NoSuchTurn => Ok(None),
        BeginOutcome::Begun { previous: None, .. }
        | BeginOutcome::BudgetExhausted
        | BeginOutcome::Unavailable => Err(CheckpointError::StoresUnavailable),
    }
}

fn time_until(instant: Instant) -> Duration {
    instant.saturating_duration_since(Instant::now())
}
