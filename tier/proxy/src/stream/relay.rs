//! Passes the events of one target's answer on.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Response, StatusCode};
use plankhill_dispatch::{AttemptOutcome, Ms};
use tokio::time::{timeout_at, Instant};

use super::client::Client;
use super::events::EventSplitter;
use crate::clock::milliseconds;
use crate::headers::strip_connection_headers;
use crate::memory::Portion;
use crate::turn::Handed;

/// The media type of a series of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Whether an answer with this head is a series of events.
pub fn is_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let media_type = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    status.is_success() && media_type.is_some_and(|value| value.starts_with(EVENT_STREAM))
}

/// What was passed on so far, over all targets.
#[derive(Debug, Default)]
pub struct Passed {
    /// The id of the last event.
    pub last_id: Option<u64>,
    /// The longest pause between two arrivals.
    pub longest_pause: Ms,
}

/// Where the events of one answer go.
pub struct Relay<'stream> {
    /// The client.
    pub client: &'stream mut Client,
    /// For the turn's record and its budget.
    pub handed: &'stream mut Handed,
    /// What was passed on so far.
    pub passed: &'stream mut Passed,
    /// Where the data of the events is accounted for, if it is kept.
    pub memory: Option<&'stream mut Portion>,
}

impl Relay<'_> {
    /// Passes events on as they arrive, until the target's stream ends properly.
    ///
    /// # Errors
    /// How the stream broke. An event that was not whole is not passed on.
    pub async fn pass_on(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        body: &mut Incoming,
        deadline: Instant,
    ) -> Result<(), AttemptOutcome> {
        let mut splitter = EventSplitter::default();
        let mut heard = Instant::now();
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
            self.passed.longest_pause =
                self.passed.longest_pause.max(milliseconds(heard.elapsed()));
            heard = Instant::now();
            splitter.push(&data);
            let events = self.whole_events(&mut splitter)?;
            self.send(status, headers, events).await;
        }
        let rest = splitter.into_rest();
        self.send(status, headers, rest).await;
        self.client.begin(head(status, headers));
        Ok(())
    }

    /// Takes the whole events out of the splitter, joined.
    fn whole_events(&mut self, splitter: &mut EventSplitter) -> Result<Bytes, AttemptOutcome> {
        let mut joined = BytesMut::new();
        while let Some(event) = splitter.next_event().map_err(|_| AttemptOutcome::Reset)? {
            if let (Some(id), Some(last)) = (event.id, self.passed.last_id) {
                if id <= last {
                    // Another run from the start: its events would be joined to those of the first.
                    return Err(AttemptOutcome::Reset);
                }
            }
            self.passed.last_id = event.id.or(self.passed.last_id);
            self.handed.events += 1;
            if let Some(memory) = &mut self.memory {
                memory
                    .grow(event.bytes.len())
                    .map_err(|_| AttemptOutcome::Cancelled)?;
                event.append_data(&mut self.handed.output);
            }
            joined.extend_from_slice(&event.bytes);
        }
        Ok(joined.freeze())
    }

    async fn send(&mut self, status: StatusCode, headers: &HeaderMap, events: Bytes) {
        if events.is_empty() {
            return;
        }
        // The event lies ready when the head is written, so that both go out together.
        self.client.send(events).await;
        self.client.begin(head(status, headers));
    }
}

fn head(status: StatusCode, headers: &HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    let mut headers = headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
