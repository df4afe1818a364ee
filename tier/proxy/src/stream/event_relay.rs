//! Forwards the events of one target's response to the client.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Response, StatusCode};
use plankhill_dispatch::{AttemptOutcome, Ms};
use tokio::time::{timeout_at, Instant};

use super::checkpoints::StreamCheckpoints;
use super::client_channel::ClientChannel;
use super::events::{Event, EventSplitter};
use crate::clock::milliseconds;
use crate::headers::strip_connection_headers;
use crate::memory_budget::MemoryReservation;
use crate::turn::DeliveredOutput;

/// The media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// Whether a response with this head is an event stream.
pub(super) fn is_event_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let media_type = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    status.is_success() && media_type.is_some_and(|value| value.starts_with(EVENT_STREAM))
}

/// The progress of a stream, over all targets.
#[derive(Debug, Default)]
pub(super) struct StreamProgress {
    /// The id of the last event that was forwarded.
    pub(super) last_event_id: Option<u64>,
    /// The longest pause between two arrivals of data.
    pub(super) longest_pause: Ms,
}

/// Forwards the events of one response.
pub(super) struct EventRelay<'stream> {
    /// The channel to the client.
    pub(super) client: &'stream mut ClientChannel,
    /// The delivered output, for the turn's record and its budget.
    pub(super) delivered: &'stream mut DeliveredOutput,
    /// The progress of the stream.
    pub(super) progress: &'stream mut StreamProgress,
    /// Accounts for the data of the events, if the turn is retained.
    pub(super) memory: Option<&'stream mut MemoryReservation>,
    /// Stores the events before they are forwarded, if the turn is retained and can be resumed.
    pub(super) checkpoints: Option<&'stream mut StreamCheckpoints>,
}

/// The complete events of the data that has arrived.
struct EventBatch {
    /// The bytes of the events that precede the first invalid one, joined.
    bytes: Bytes,
    /// The outcome of the attempt if an invalid event follows.
    validity: Result<(), AttemptOutcome>,
}

impl EventRelay<'_> {
    /// Forwards events as they arrive, until the target's stream ends properly.
    ///
    /// # Errors
    /// The outcome of the attempt if the stream does not end properly. The complete events before the
    /// failure are forwarded, because the next attempt resumes after them; an incomplete or invalid
    /// event is not.
    pub(super) async fn forward(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        body: &mut Incoming,
        deadline: Instant,
    ) -> Result<(), AttemptOutcome> {
        let mut splitter = EventSplitter::default();
        let mut last_arrival = Instant::now();
        loop {
            let frame = match timeout_at(deadline, body.frame()).await {
                Err(_) => return Err(AttemptOutcome::TimedOut),
                Ok(Some(Err(_))) => return Err(AttemptOutcome::Reset),
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let pause = milliseconds(last_arrival.elapsed());
            self.progress.longest_pause = self.progress.longest_pause.max(pause);
            last_arrival = Instant::now();
            splitter.push(&data);
            let batch = self.take_events(&mut splitter);
            self.save_checkpoints().await?;
            self.send(status, headers, batch.bytes).await;
            batch.validity?;
        }
        let remainder = splitter.into_remainder();
        self.send(status, headers, remainder).await;
        self.client.send_head(response_head(status, headers));
        Ok(())
    }

    /// Takes the complete events out of the splitter, up to the first invalid one.
    fn take_events(&mut self, splitter: &mut EventSplitter) -> EventBatch {
        let mut bytes = BytesMut::new();
        let validity = loop {
            match self.take_event(splitter) {
                Ok(Some(event)) => bytes.extend_from_slice(&event.bytes),
                Ok(None) => break Ok(()),
                Err(outcome) => break Err(outcome),
            }
        };
        EventBatch {
            bytes: bytes.freeze(),
            validity,
        }
    }

    /// Takes the next complete event out of the splitter, and records it as delivered.
    fn take_event(
        &mut self,
        splitter: &mut EventSplitter,
    ) -> Result<Option<Event>, AttemptOutcome> {
        let next = splitter.next_event().map_err(|_| AttemptOutcome::Reset)?;
        let Some(event) = next else {
            return Ok(None);
        };
        self.record(&event)?;
        Ok(Some(event))
    }

    /// Records an event that is forwarded. An event that is refused leaves no trace: the next attempt
    /// resumes after the last event that was recorded.
    fn record(&mut self, event: &Event) -> Result<(), AttemptOutcome> {
        match (event.id, self.progress.last_event_id) {
            (Some(id), Some(last)) if id <= last => {
                // The request was executed again from the start: the events would be mixed with
                // those of the first execution.
                return Err(AttemptOutcome::Reset);
            }
            _ => {}
        }
        if let Some(memory) = &mut self.memory {
            memory
                .grow(event.bytes.len())
                .map_err(|_| AttemptOutcome::Cancelled)?;
            event.append_data(&mut self.delivered.data);
        }
        if let Some(checkpoints) = &mut self.checkpoints {
            checkpoints.push(event);
        }
        self.progress.last_event_id = event.id.or(self.progress.last_event_id);
        self.delivered.events += 1;
        Ok(())
    }

    async fn save_checkpoints(&mut self) -> Result<(), AttemptOutcome> {
        let Some(checkpoints) = &mut self.checkpoints else {
            return Ok(());
        };
        let saved = checkpoints.save().await;
        saved.map_err(|error| {
            tracing::warn!(%error, "stream ended: its events could not be stored");
            AttemptOutcome::Cancelled
        })
    }

    async fn send(&mut self, status: StatusCode, headers: &HeaderMap, events: Bytes) {
        if events.is_empty() {
            return;
        }
        // The event is queued before the head is written, so that both are sent together.
        self.client.send(events).await;
        self.client.send_head(response_head(status, headers));
    }
}

fn response_head(status: StatusCode, headers: &HeaderMap) -> Response<()> {
    let mut headers = headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
