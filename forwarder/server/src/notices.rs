//! Ends that are owed to the platform: told in order, again and again until each is heard.

use std::io;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use plankhill_event_log::Outcome;
use serde_json::json;
use slog::{error, warn};

use crate::common::Common;
use crate::exchange::{ask, until, Stream, LONGEST_HEAD};
use crate::mail::{CameIn, Notice};

/// As many notices wait at most; no event is taken while more ends than that could be owed.
pub const MAILBOX: usize = 4096;
/// Notices told at once: some twenty kilobytes.
const TOGETHER: usize = 200;
/// An answer has the first of these, and twice as long with each try in vain up to the last. A notice has to be heard
/// 300 ms after its event's time is up, which ends shortly before, and the agent answers at once: a connection that
/// has fallen silent costs 80 ms, and a second one 160 more, which leaves another try. A machine on which an answer
/// takes longer is heard by the tries that follow: what is told twice does no harm.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(80), Duration::from_millis(1000));
/// Behind a refusal. A connection that was kept says nothing of a new one, and silence was a pause.
const PAUSE: Duration = Duration::from_millis(50);

pub async fn run(common: Common, owed: Receiver<Notice>, to_rounds: Sender<CameIn>) {
    let (mut stream, mut patience, mut trouble) = (None, PATIENCE.0, String::new());
    while let Ok(first) = owed.recv().await {
        let mut left = vec![vec![first]];
        while let Some(mut part) = left.pop() {
            // All that ended meanwhile goes along, also with those that were not heard: none waits behind them.
            while let Some(next) = (part.len() < TOGETHER)
                .then(|| owed.try_recv().ok())
                .flatten()
            {
                part.push(next);
            }
            let was_kept = stream.is_some();
            match tell(&common, &part, &mut stream, patience).await {
                Ok(Heard::No) if part.len() > 1 => {
                    // One that can't be read must not hold up the others.
                    let rest = part.split_off(part.len() / 2);
                    left.extend([rest, part]);
                    continue;
                }
                Ok(Heard::No) => {
                    error!(common.log, "a notice cannot be read there"; "event" => &*part[0].event.0);
                }
                Ok(Heard::Yes) => (),
                Err(e) => {
                    stream = None;
                    patience = (2 * patience).min(PATIENCE.1);
                    // Told once, not with each try.
                    if std::mem::replace(&mut trouble, e.to_string()) != trouble {
                        warn!(common.log, "notices are not heard"; "number" => part.len(), "error" => %e);
                    }
                    left.push(part);
                    if !was_kept && e.kind() != io::ErrorKind::TimedOut {
                        Timer::after(PAUSE).await;
                    }
                    continue;
                }
            }
            patience = PATIENCE.0;
            trouble.clear();
            let heard = part.into_iter().map(|notice| notice.event).collect();
            if to_rounds.send(CameIn::Heard(heard)).await.is_err() {
                return;
            }
        }
    }
}

enum Heard {
    Yes,
    /// The platform can't read it, now or later.
    No,
}

async fn tell(
    common: &Common,
    notices: &[Notice],
    kept: &mut Option<Stream>,
    patience: Duration,
) -> io::Result<Heard> {
    let lines: String = notices.iter().map(line).collect();
    let mut request = Vec::new();
    let to = common.discovery.get();
    plankhill_http1::request(
        &mut request,
        "POST",
        "/status",
        &[("Host", &to)],
        lines.len(),
    )?;
    request.extend_from_slice(lines.as_bytes());
    let exchange = async {
        let mut bytes = [0; LONGEST_HEAD];
        let answer = ask(kept, to, &request, &mut bytes, patience).await?;
        match plankhill_http1::ResponseHead::status_in(&bytes[answer.head]) {
            Some(204) => Ok(Heard::Yes),
            Some(400) => Ok(Heard::No),
            other => Err(io::Error::other(format!(
                "answered with {}",
                other.unwrap_or_default()
            ))),
        }
    };
    until(Instant::now() + patience, exchange)
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

fn line(
    Notice {
        event,
        outcome,
        come_back_after,
    }: &Notice,
) -> String {
    let id = &*event.0;
    let value = match (outcome, come_back_after) {
        (Outcome::Abandoned, _) => json!({"message": id, "outcome": "given_up"}),
        (Outcome::Rejected, None) => json!({"message": id, "outcome": "handed_back"}),
        (Outcome::Rejected, Some(wait)) => {
            json!({"message": id, "outcome": "handed_back", "retry_in_ms": wait.ceil() as u64})
        }
    };
    format!("{value}\n")
}

#[cfg(test)]
mod wire_format_tests;
