//! Answers a client.

use std::time::{Duration, Instant};

use futures_lite::{future, AsyncWriteExt};
use plankhill_hot_restart::Verdict;
use plankhill_http1 as http1;
use slog::info;

use super::client::Client;
use super::door::Waits;
use super::request::Refusal;
use crate::closing;
use crate::exchange::is_quiet;

/// An answer for which its client makes no room is given up: it waits for 400 ms, the answer's first byte included.
const WRITING: Duration = Duration::from_secs(2);
/// What still comes behind the last answer is read for so long: a client that goes by its answer closes at once.
const LINGERING: Duration = Duration::from_secs(1);
/// Refusals are told to the log so often at most, with the number of those between.
const TELLING: Duration = Duration::from_secs(1);

impl Client {
    pub(super) async fn tell(&mut self, verdict: Verdict) -> bool {
        match verdict {
            Verdict::TakenOn => self.respond(202, &[], "").await,
            Verdict::Failed => self.respond(500, &[], "").await,
            Verdict::Refused(None) => self.respond(503, &[], "").await,
            Verdict::Refused(Some(wait)) => {
                let seconds = format!("{:.3}", wait / 1000.0);
                self.respond(503, &[("Retry-After", &seconds)], "").await
            }
        }
    }

    /// Answers a request that is none and ends the connection.
    pub(super) async fn refuse(mut self, Refusal(status, why): Refusal) {
        self.tell_log(status, why);
        let field: [(&str, &dyn std::fmt::Display); 2] =
            [("Allow", &"GET, POST"), ("Retry-After", &1)];
        let fields = match status {
            405 => &field[..1],
            503 => &field[1..],
            _ => &[],
        };
        self.last = true;
        if self.respond(status, fields, why).await {
            self.close().await;
        }
    }

    /// Ends the connection behind its last answer; it is the first to make room for others meanwhile.
    pub(super) async fn close(self) {
        let ends = closing::ends(&self.stream);
        let _ = self
            .door
            .waits(Waits::Lingers, Instant::now() + LINGERING, ends)
            .await;
    }

    fn tell_log(&self, status: u16, why: &'static str) {
        let door = &self.door;
        if door.said.get().is_some_and(|said| said.elapsed() < TELLING) {
            return door.unsaid.set(door.unsaid.get() + 1);
        }
        door.said.set(Some(Instant::now()));
        info!(self.common.log, "a request is refused"; "status" => status, "why" => why,
            "others_since" => door.unsaid.take());
    }

    /// Whether the answer was written. It is the last one also if clients are not to come any more and nothing has
    /// come behind the request: what has is answered as well.
    pub(super) async fn respond(
        &mut self,
        status: u16,
        fields: &[(&str, &dyn std::fmt::Display)],
        text: &str,
    ) -> bool {
        self.last |= self.common.gate.is_shut() && self.begun.is_none() && is_quiet(&self.stream);
        let mut fields = fields.to_vec();
        if self.last {
            fields.push(("Connection", &"close"));
        }
        let mut message = Vec::with_capacity(128);
        if http1::response(&mut message, status, &fields, text.len()).is_err() {
            return false;
        }
        message.extend_from_slice(text.as_bytes());
        let mut written = Box::pin(self.stream.write_all(&message));
        if let Some(written) = future::poll_once(&mut written).await {
            return written.is_ok();
        }
        // Its client has not read answers for long.
        matches!(
            self.door
                .waits(Waits::Writes, Instant::now() + WRITING, written)
                .await,
            Ok(Ok(()))
        )
    }
}
