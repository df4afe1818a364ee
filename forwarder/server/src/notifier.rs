//! The notifier: reports outcomes other than delivery to the platform, in order, and retries until
//! each is acknowledged. The platform's agent receives them at the address of discovery. Spawned
//! once by `server`; the event loop fills its mailbox.

use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use plankhill_event_log::Outcome;
use plankhill_http1::ResponseHead;
use serde_json::json;
use slog::{error, warn};

use crate::context::ServerContext;
use crate::http_exchange::{exchange, ExchangeError};
use crate::messages::{CompletionNotice, Input};
use crate::stream::{until, Stream, MAX_HEAD_BYTES};

/// Capacity of the notifier's mailbox. No event is accepted while more outcomes could be pending.
pub const MAX_QUEUED_NOTICES: usize = 4096;
/// Limit of notices in one request, about 20 kB.
const MAX_NOTICES_PER_REQUEST: usize = 200;
/// Time limit for a response: the minimum at first, doubled with each failure up to the maximum. A
/// notice has to be acknowledged 300 ms after its event's deadline, shortly before which the event
/// ends, and the agent responds immediately: an unresponsive connection costs 80 ms and a second
/// one 160 ms more, which leaves time for another attempt. Later attempts succeed on a machine on
/// which a response takes longer; sending a notice twice is harmless.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(80);
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Delay before a retry after a refusal. There is none after a failure of an idle connection, since
/// a new one may succeed, nor after a timeout, which was a delay itself.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Why notices are not acknowledged.
#[derive(Debug, thiserror::Error)]
enum NoticeError {
    /// There is no valid response.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The response's status is neither 204 nor 400.
    #[error("response status {0}")]
    Status(u16),
}

impl NoticeError {
    fn is_timeout(&self) -> bool {
        match self {
            NoticeError::Exchange(error) => error.is_timeout(),
            NoticeError::Status(_) => false,
        }
    }
}

/// The platform's response to a batch of notices.
enum Acknowledgement {
    Accepted,
    /// The platform cannot read a notice of the batch; a retry does not help.
    Unreadable,
}

/// Sends notices until the event loop ends.
pub async fn run(
    context: ServerContext,
    notices: Receiver<CompletionNotice>,
    to_event_loop: Sender<Input>,
) {
    let mut notifier = Notifier {
        context,
        notices,
        idle: None,
        response_timeout: MIN_RESPONSE_TIMEOUT,
        logged_failure: String::new(),
    };
    while let Ok(first) = notifier.notices.recv().await {
        let mut batches = vec![vec![first]];
        while let Some(mut batch) = batches.pop() {
            notifier.fill(&mut batch);
            let was_connected = notifier.idle.is_some();
            match notifier.send(&batch).await {
                Ok(Acknowledgement::Unreadable) if batch.len() > 1 => {
                    // One unreadable notice must not block the others: each half is sent
                    // separately.
                    let rest = batch.split_off(batch.len() / 2);
                    batches.push(rest);
                    batches.push(batch);
                    continue;
                }
                Ok(Acknowledgement::Unreadable) => {
                    error!(notifier.context.log, "notice not readable for the platform";
                        "event" => &*batch[0].event.0);
                }
                Ok(Acknowledgement::Accepted) => (),
                Err(error) => {
                    notifier.on_failure(&error, batch.len());
                    batches.push(batch);
                    if !was_connected && !error.is_timeout() {
                        Timer::after(RETRY_BACKOFF).await;
                    }
                    continue;
                }
            }
            notifier.reset();
            let events = batch.into_iter().map(|notice| notice.event).collect();
            if to_event_loop
                .send(Input::NoticesAcknowledged(events))
                .await
                .is_err()
            {
                return;
            }
        }
    }
}

struct Notifier {
    context: ServerContext,
    notices: Receiver<CompletionNotice>,
    idle: Option<Stream>,
    response_timeout: Duration,
    /// Text of the last logged failure, which is not logged again with each retry.
    logged_failure: String,
}

impl Notifier {
    /// Adds the notices that have arrived meanwhile, also to a batch that was not acknowledged, so
    /// that they do not wait until it is.
    fn fill(&self, batch: &mut Vec<CompletionNotice>) {
        while batch.len() < MAX_NOTICES_PER_REQUEST {
            match self.notices.try_recv() {
                Ok(next) => batch.push(next),
                Err(_) => return,
            }
        }
    }

    async fn send(&mut self, batch: &[CompletionNotice]) -> Result<Acknowledgement, NoticeError> {
        let lines: String = batch.iter().map(encode_notice).collect();
        let address = self.context.discovery_address.get();
        let mut request = Vec::new();
        let fields: [(&str, &dyn std::fmt::Display); 1] = [("Host", &address)];
        plankhill_http1::write_request(&mut request, "POST", "/status", &fields, lines.len())
            .map_err(ExchangeError::from)?;
        request.extend_from_slice(lines.as_bytes());
        let timeout = self.response_timeout;
        let idle = &mut self.idle;
        let exchanged = async {
            let mut buffer = [0; MAX_HEAD_BYTES];
            let response = exchange(idle, address, &request, &mut buffer, timeout).await?;
            match ResponseHead::status_in(&buffer[response.head]) {
                Some(204) => Ok(Acknowledgement::Accepted),
                Some(400) => Ok(Acknowledgement::Unreadable),
                other => Err(NoticeError::Status(other.unwrap_or_default())),
            }
        };
        match until(Instant::now() + timeout, exchanged).await {
            Some(acknowledgement) => acknowledgement,
            None => Err(ExchangeError::TimedOut.into()),
        }
    }

    fn on_failure(&mut self, error: &NoticeError, notices: usize) {
        self.idle = None;
        self.response_timeout = (2 * self.response_timeout).min(MAX_RESPONSE_TIMEOUT);
        let failure = error.to_string();
        if failure != self.logged_failure {
            warn!(self.context.log, "notices not acknowledged"; "notices" => notices,
                "error" => &failure);
            self.logged_failure = failure;
        }
    }

    fn reset(&mut self) {
        self.response_timeout = MIN_RESPONSE_TIMEOUT;
        self.logged_failure.clear();
    }
}

/// Encodes a notice in the platform's format: one JSON object per line.
fn encode_notice(notice: &CompletionNotice) -> String {
    let event = &*notice.event.0;
    let value = match (notice.outcome, notice.retry_after) {
        (Outcome::Abandoned, _) => json!({"message": event, "outcome": "given_up"}),
        (Outcome::Rejected, None) => json!({"message": event, "outcome": "handed_back"}),
        (Outcome::Rejected, Some(retry_after)) => {
            let retry_in_ms = retry_after.ceil() as u64;
            json!({"message": event, "outcome": "handed_back", "retry_in_ms": retry_in_ms})
        }
    };
    format!("{value}\n")
}

#[cfg(test)]
mod wire_format_tests;
