//! Passes the events of one target's answer on to the client.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Response, StatusCode};
use plankhill_dispatch::{AttemptOutcome, Ms};
use tokio::time::{timeout_at, Instant};

use super::client_channel::ClientChannel;
use super::events::{Event, EventSplitter};
use crate::clock::milliseconds;
use crate::headers::strip_connection_headers;
use crate::memory_budget::MemoryReservation;
use crate::turn::DeliveredOutput;

/// The media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// Whether an answer with this head is an event stream.
pub(super) fn is_event_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let media_type = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    status.is_success() && media_type.is_some_and(|value| value.starts_with(EVENT_STREAM))
}

/// What was passed on so far, over all targets.
#[derive(Debug, Default)]
pub(super) struct StreamProgress {
    /// The id of the last event.
    pub(super) last_event_id: Option<u64>,
    /// The longest pause between two arrivals.
    pub(super) longest_pause: Ms,
}

/// Where the events of one answer go.
pub(super) struct EventRelay<'stream> {
    /// The client.
    pub(super) client: &'stream mut ClientChannel,
    /// For the turn's record and its budget.
    pub(super) delivered: &'stream mut DeliveredOutput,
    /// What was passed on so far.
    pub(super) progress: &'stream mut StreamProgress,
    /// Accounts for the data of the events, if it is retained.
    pub(super) memory: Option<&'stream mut MemoryReservation>,
}

impl EventRelay<'_> {
    /// Passes events on as they arrive, until the target's stream ends properly.
    ///
    /// # Errors
    /// How the stream broke. An incomplete event is not passed on.
    pub(super) async fn pass_on(
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
            let events = self.take_events(&mut splitter)?;
            self.send(status, headers, events).await;
        }
        let rest = splitter.into_rest();
        self.send(status, headers, rest).await;
        self.client.begin(response_head(status, headers));
        Ok(())
    }

    /// Takes the complete events out of the splitter; returns their bytes, joined.
    fn take_events(&mut self, splitter: &mut EventSplitter) -> Result<Bytes, AttemptOutcome> {
        let mut joined = BytesMut::new();
        while let Some(event) = splitter.next_event().map_err(|_| AttemptOutcome::Reset)? {
            self.record(&event)?;
            joined.extend_from_slice(&event.bytes);
        }
        Ok(joined.freeze())
    }

    fn record(&mut self, event: &Event) -> Result<(), AttemptOutcome> {
        match (event.id, self.progress.last_event_id) {
            (Some(id), Some(last)) if id <= last => {
                // Another execution from the start: its events would be joined to those of the
                // first.
                return Err(AttemptOutcome::Reset);
            }
            _ => {}
        }
        self.progress.last_event_id = event.id.or(self.progress.last_event_id);
        self.delivered.events += 1;
        if let Some(memory) = &mut self.memory {
            memory
                .grow(event.bytes.len())
                .map_err(|_| AttemptOutcome::Cancelled)?;
            event.append_data(&mut self.delivered.data);
        }
        Ok(())
    }

    async fn send(&mut self, status: StatusCode, headers: &HeaderMap, events: Bytes) {
        if events.is_empty() {
            return;
        }
        // The event lies ready when the head is written, so that both go out together.
        self.client.send(events).await;
        self.client.begin(response_head(status, headers));
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
