//! Ends that are owed to the platform: told in order, again and again until each is heard.

use std::io;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use plankhill::interface::*;
use plankhill_ledger::Outcome;
use serde_json::json;
use slog::warn;

use crate::exchange::{ask, until, Stream, LONGEST_HEAD};
use crate::rounds::CameIn;
use crate::Common;

/// As many notices wait at most; no event is taken while more ends than that could be owed.
pub const MAILBOX: usize = 4096;
/// Notices told at once: some twenty kilobytes.
const TOGETHER: usize = 200;
const PATIENCE: Duration = Duration::from_millis(1000);
const PAUSE: Duration = Duration::from_millis(50);

pub struct Notice {
    pub event: EventId,
    pub outcome: Outcome,
    pub come_back_after: Option<Ms>,
}

pub async fn run(common: Common, owed: Receiver<Notice>, to_rounds: Sender<CameIn>) {
    let mut stream = None;
    while let Ok(first) = owed.recv().await {
        let mut batch = vec![first];
        while let Some(next) = (batch.len() < TOGETHER).then(|| owed.try_recv().ok()).flatten() {
            batch.push(next);
        }
        let mut lines = Vec::new();
        for Notice { event, outcome, come_back_after } in &batch {
            let line = match (outcome, come_back_after) {
                (Outcome::WrittenOff, _) => json!({"message": &*event.0, "outcome": "given_up"}),
                (Outcome::Dismissed, None) => json!({"message": &*event.0, "outcome": "handed_back"}),
                (Outcome::Dismissed, Some(wait)) => {
                    json!({"message": &*event.0, "outcome": "handed_back", "retry_in_ms": wait.ceil() as u64})
                }
            };
            lines.extend_from_slice(line.to_string().as_bytes());
            lines.push(b'\n');
        }
        while let Err(e) = tell(&common, &lines, &mut stream).await {
            stream = None;
            warn!(common.log, "notices are not heard"; "number" => batch.len(), "error" => %e);
            Timer::after(PAUSE).await;
        }
        let heard = batch.into_iter().map(|notice| notice.event).collect();
        if to_rounds.send(CameIn::Heard(heard)).await.is_err() {
            return;
        }
    }
}

async fn tell(common: &Common, lines: &[u8], kept: &mut Option<Stream>) -> io::Result<()> {
    let mut request = Vec::new();
    let to = common.told.discovery;
    plankhill_http1::request(&mut request, "POST", "/status", &[("Host", &to)], lines.len())?;
    request.extend_from_slice(lines);
    let exchange = async {
        let mut bytes = [0; LONGEST_HEAD];
        let answer = ask(kept, to, &request, &mut bytes).await?;
        let status = plankhill_http1::ResponseHead::status_in(&bytes[answer.head]);
        if status != Some(204) {
            let what = format!("answered with {}", status.unwrap_or_default());
            return Err(io::Error::new(io::ErrorKind::InvalidData, what));
        }
        Ok(())
    };
    until(Instant::now() + PATIENCE, exchange).await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
