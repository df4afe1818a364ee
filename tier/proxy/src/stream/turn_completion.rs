//! Settles and stores a stream's turn, however the stream ends.

use std::sync::Arc;

use plankhill_dispatch::Ms;
use tokio::time::Instant;

use super::checkpoints::{self, BegunStream, CheckpointError, ClientAttempt, StreamCheckpoints};
use super::stream_key::{StreamKey, TurnIdentity};
use crate::client_request::ClientRequest;
use crate::in_flight::WorkGuard;
use crate::process::Proxy;
use crate::turn::{DeliveredOutput, Turn, TurnError};

/// The stores may take this share of the time left until the deadline: a target needs the remaining
/// time.
const BEGIN_SHARE: f64 = 0.5;

/// A stream's turn and its delivered output. Owned by the stream's task, so that the turn can be
/// settled after a cancellation.
pub(super) struct TurnCompletion {
    /// The turn, if it reserves tokens or is retained.
    turn: Option<Turn>,
    pub(super) delivered: DeliveredOutput,
    /// Stores the events of a retained turn whose stream can be resumed; set once the turn has begun.
    pub(super) checkpoints: Option<StreamCheckpoints>,
    /// Whether the stores have acknowledged the end of the turn, or there is nothing to settle.
    is_settled: bool,
}

impl TurnCompletion {
    pub(super) fn from_request(proxy: &Proxy, request: &ClientRequest) -> Self {
        let turn = Turn::from_request(
            &proxy.turns,
            &request.route,
            &request.headers,
            request.tokens_per_event,
            &request.upstream.body,
        );
        TurnCompletion {
            turn,
            delivered: DeliveredOutput::default(),
            checkpoints: None,
            is_settled: false,
        }
    }

    /// Reserves tokens, fetches the history that the turn continues, and puts the history before the
    /// input in the body of the request. If the client resumes the stream of a retained turn, also
    /// fetches the output that the client has. A turn that does not begin remains unsettled: its reservation
    /// may be at the stores whatever they replied.
    ///
    /// # Errors
    /// A [`TurnError`] if the turn must not be sent. An exhausted memory budget is reported as
    /// unavailable stores: the client may retry soon.
    pub(super) async fn begin(
        &mut self,
        proxy: &Proxy,
        request: &mut ClientRequest,
    ) -> Result<(), TurnError> {
        let Some(turn) = &mut self.turn else {
            return Ok(());
        };
        let now = proxy.clock.now();
        let until = now + (request.deadline - now) * BEGIN_SHARE;
        let deadline = proxy.clock.instant(request.deadline);
        let until = proxy.clock.instant(until);
        let attempt = resumable_attempt(turn, request, deadline);
        let begun = begin_checkpoints(proxy, attempt, until);
        let (body, stream) = tokio::join!(turn.begin(until, deadline), begun);
        let (body, stream) = (body?, stream?);
        let history_bytes = body.len() - request.upstream.body.len();
        let held_bytes = history_bytes + stream.earlier_output.len();
        if request.memory.grow(held_bytes).is_err() {
            return Err(TurnError::StoresUnavailable);
        }
        self.delivered.data = stream.earlier_output.to_vec();
        self.checkpoints = stream.checkpoints;
        request.upstream.body = body;
        Ok(())
    }

    /// Whether the data of events is retained for the turn's record.
    pub(super) fn is_retained(&self) -> bool {
        self.turn.as_ref().is_some_and(Turn::is_retained)
    }

    /// Stores a retained turn before its response ends; returns false if the stores have not
    /// acknowledged it by `deadline`. Other turns are settled in the background.
    pub(super) async fn store_retained(&mut self, proxy: &Proxy, deadline: Ms) -> bool {
        let Some(turn) = self.turn.as_ref().filter(|turn| turn.is_retained()) else {
            return true;
        };
        if turn
            .end(&self.delivered, proxy.clock.instant(deadline))
            .await
        {
            self.is_settled = true;
            return true;
        }
        // The response is truncated, and the turn is settled by its delivered events.
        self.delivered.is_complete = false;
        false
    }

    /// Settles the turn unless the stores have acknowledged its end.
    pub(super) fn settle_in_background(self, work: WorkGuard) {
        if self.is_settled {
            return;
        }
        if let Some(turn) = self.turn {
            turn.settle_in_background(self.delivered, work);
        }
    }
}

/// The attempt of a client at a retained turn whose stream can be resumed; `None` for other requests.
fn resumable_attempt(
    turn: &Turn,
    request: &ClientRequest,
    deadline: Instant,
) -> Option<ClientAttempt> {
    if !turn.is_retained() || !request.route.resumable {
        return None;
    }
    let identity = TurnIdentity {
        program: request.headers.program.as_ref()?,
        session: request.headers.session,
        previous: request.headers.previous.as_ref(),
        path: request.upstream.uri.path_and_query()?.as_str(),
        input: &request.upstream.body,
    };
    Some(ClientAttempt {
        key: StreamKey::new(&identity),
        request_id: request.upstream.request_id.clone(),
        last_event_id: request.resumed_after(),
        deadline,
    })
}

async fn begin_checkpoints(
    proxy: &Proxy,
    attempt: Option<ClientAttempt>,
    until: Instant,
) -> Result<BegunStream, TurnError> {
    let Some(attempt) = attempt else {
        return Ok(BegunStream {
            checkpoints: None,
            earlier_output: Arc::from([]),
        });
    };
    let begun = checkpoints::begin(&proxy.turns, attempt, until).await;
    begun.map_err(|error| match error {
        CheckpointError::StoresUnavailable => TurnError::StoresUnavailable,
        CheckpointError::UnknownOutput => TurnError::UnknownOutput,
    })
}
