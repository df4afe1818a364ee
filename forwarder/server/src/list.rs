//! The list of targets: what was last known at the start, then a watch on discovery without a break.
//!
//! Whatever call failed, a change counts as told 6 s after discovery had it and could be reached. The sum:
//!
//! - An ask after a failed one stands for `AFTER_FAILURE` and `LATE`, 2.5 s, its dial within that (`exchange::DIAL`).
//!   From one ask to the next pass 5 s at most (`pause.rs`): discovery that can be reached now is asked within 5 s,
//!   and 1 s is left for dial and answer.
//! - A watch stands longer only behind an answer. If its answer begins and never ends: 2 s (`WHOLE`), the first
//!   pause, 2 s at most, and 2 s left.
//! - If it breaks off: the first pause, 2 s at most, and 4 s left.
//! - If it falls silent and then has its own time, 2 s past its wait: half a second of it (`LATE`), no pause, and
//!   1.5 s left. Beside an agent and in small fleets it stands 4 s, and that too ends within the 6 s.

use std::io;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::future;
use serde_json::Value;
use slog::{debug, warn};

use crate::common::Common;
use crate::exchange::{ask, until, Stream};
use crate::kept::{self, Kept};
use crate::mail::CameIn;
use crate::page::{is_list, is_whole, revision};
use crate::pause::Pause;

/// So long a watch waits at discovery, in milliseconds, which allows up to a minute. Where the list is pushed an
/// agent beside us answers at no cost. Elsewhere each ask costs the discovery of the whole fleet: so long for each
/// forwarder that a fleet asks five times a second, as a hundred do with 20 s, while nothing changes.
const WATCH: (u64, u64) = (4_000, 20_000);
const WATCH_EACH: f64 = 200.0;
/// So long waits a watch behind a call that failed, in milliseconds: an overbooked discovery answered after up to 2 s.
/// The agent answers at once, and silence is found out at once.
const AFTER_FAILURE: u64 = 2_000;
const AFTER_FAILURE_BESIDE: u64 = 500;
/// A whole list is answered at once, by a discovery that many ask as well.
const WHOLE_LIST: u64 = 1_500;
/// After its wait a watch is answered within that, or it has fallen silent and is begun anew, on a new connection.
/// What it missed counts as told 2 s after the wait (or 6 s after it fell silent, which is later only for shorter
/// waits): the new ask has the rest of that time for its answer.
const LATE: Duration = Duration::from_millis(500);
/// An answer is whole so long after its first byte, or never: a peer that trickles is as silent as one that is mute.
const WHOLE: Duration = Duration::from_millis(2_000);
/// The agent answers at once, if discovery is up.
const AT_START: Duration = Duration::from_millis(200);
/// Longest list that is read: some thousands of targets.
const LONGEST: usize = 2 << 20;

/// What is known of the targets before the first watch.
pub struct Start {
    pub known: Value,
    /// Whether discovery said so just now.
    had: bool,
}

/// What the agent has by now counts as told: it is asked before anything is sent. While it is silent, the
/// list holds that an earlier process kept, or `known`, the one in the configuration, if that is newer.
pub async fn at_start(common: &Common, known: Value) -> Start {
    let (mut bytes, mut stream) = (vec![0; LONGEST], None);
    let whole = watch(common, None, WHOLE_LIST, &mut stream, &mut bytes);
    match until(Instant::now() + AT_START, whole).await {
        Some(Ok(page)) if is_whole(&page) => {
            return Start {
                known: page,
                had: true,
            }
        }
        Some(Err(e)) => warn!(common.log, "discovery cannot be asked at the start"; "error" => %e),
        _ => warn!(common.log, "discovery is silent at the start"),
    }
    let kept =
        kept::read(&common.told.state_folder).filter(|kept| revision(kept) >= revision(&known));
    Start {
        known: kept.unwrap_or(known),
        had: false,
    }
}

/// Watches until the rounds end. When discovery moves, the watch goes on at its new address.
pub async fn run(common: Common, start: Start, to_rounds: Sender<CameIn>, moved: Receiver<()>) {
    // It has a small part of the disk.
    let most = common.told.max_disk_bytes / 40;
    let mut list = Kept::default();
    let Start { known, had } = start;
    list.take(&known);
    drop(known);
    list.write(&common.told.state_folder, most);
    let (mut bytes, mut stream) = (vec![0; LONGEST], None);
    let mut trouble = String::new();
    let forwarders = common.told.decisions.forwarder_count;
    let shared = common.told.names.ask_within.is_some();
    let mut pause = match shared {
        true => Pause::new(common.told.decisions.seed, &common.told.name, forwarders),
        false => Pause::beside(),
    };
    let stands = if shared {
        ((WATCH_EACH * forwarders) as u64).clamp(WATCH.0, WATCH.1)
    } else {
        WATCH.0
    };
    let short = if shared {
        AFTER_FAILURE
    } else {
        AFTER_FAILURE_BESIDE
    };
    let moves = || async {
        if moved.recv().await.is_err() {
            future::pending::<()>().await;
        }
    };
    // Whether the call before failed, and until when not to ask again.
    let mut failed = !had;
    let mut rests = failed.then(|| pause.over_at(Instant::now(), Instant::now(), false));
    let mut asks_whole = false;
    loop {
        if let Some(over) = rests.take() {
            if until(over, moves()).await.is_some() {
                trouble.clear();
                pause.answered();
            }
        }
        let asked = Instant::now();
        let since = list.revision().filter(|_| !std::mem::take(&mut asks_whole));
        let wait = match since {
            Some(_) if failed => short,
            Some(_) => stands,
            None => WHOLE_LIST,
        };
        let page = async { Some(watch(&common, since, wait, &mut stream, &mut bytes).await) };
        let moves = async {
            moves().await;
            None
        };
        match future::or(moves, page).await {
            None => {
                // Another address: its first refusal is its own, and so is its first silence.
                trouble.clear();
                pause.answered();
                failed = true;
            }
            Some(Ok(page)) => {
                trouble.clear();
                failed = false;
                let said = revision(&page);
                debug!(common.log, "list"; "revision" => said);
                // Whoever answers at once that there is nothing new would be asked without end.
                let news = said.is_some() && said != list.revision();
                if !news && asked.elapsed() < Duration::from_millis(wait / 2) {
                    rests = Some(pause.over_at(asked, Instant::now(), false));
                } else {
                    pause.answered();
                }
                list.take(&page);
                list.write(&common.told.state_folder, most);
                if to_rounds.send(CameIn::List(page)).await.is_err() {
                    return;
                }
            }
            Some(Err(e)) => {
                stream = None;
                failed = true;
                // Once asked for whole, as what discovery holds now; on each other try as the changes.
                asks_whole = since.is_some() && is_older(&e);
                // Told once, not with each try.
                if std::mem::replace(&mut trouble, e.to_string()) != trouble {
                    warn!(common.log, "discovery cannot be asked"; "error" => %e);
                }
                let silent = e.kind() == io::ErrorKind::TimedOut;
                rests = Some(pause.over_at(asked, Instant::now(), silent));
            }
        }
    }
}

/// A watch for what is newer than `since`, or without that an ask for the whole list, for `wait` milliseconds.
async fn watch(
    common: &Common,
    since: Option<u64>,
    wait: u64,
    kept: &mut Option<Stream>,
    bytes: &mut [u8],
) -> io::Result<Value> {
    let path = match since {
        Some(since) => format!("/discovery/hosts?since={since}&timeout_ms={wait}"),
        None => "/discovery/hosts".into(),
    };
    let until_silent = Instant::now() + Duration::from_millis(wait) + LATE;
    let mut request = Vec::new();
    let to = common.discovery.get();
    plankhill_http1::request(&mut request, "GET", &path, &[("Host", &to)], 0)?;
    let exchange = async {
        let answer = ask(kept, to, &request, bytes, WHOLE).await?;
        let bad = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
        let head = &bytes[answer.head.clone()];
        if plankhill_http1::ResponseHead::read(head)
            .map_err(|e| bad(e.to_string()))?
            .status
            != 200
        {
            return Err(bad(String::from_utf8_lossy(head)
                .lines()
                .next()
                .unwrap_or_default()
                .to_owned()));
        }
        let page: Value = serde_json::from_slice(&bytes[answer.body])
            .map_err(|e| bad(format!("the list is not JSON: {e}")))?;
        if !is_list(&page) {
            return Err(bad("what was answered is no list".into()));
        }
        // A watch waits for something newer: this is the word of one that is behind, or that began anew. What it
        // changes was changed since; what it holds, if it began anew, it says when asked for the whole.
        match (revision(&page), since) {
            (Some(said), Some(since)) if said < since => {
                Err(io::Error::other(Older { said, since }))
            }
            (_, None) if !is_whole(&page) => {
                Err(bad("the list that was answered is not whole".into()))
            }
            _ => Ok(page),
        }
    };
    until(until_silent, exchange)
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// A page with an older revision than the watch asked for.
#[derive(Debug)]
struct Older {
    said: u64,
    since: u64,
}

impl std::fmt::Display for Older {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            to,
            "the list is of revision {}, older than {}",
            self.said, self.since
        )
    }
}

impl std::error::Error for Older {}

fn is_older(e: &io::Error) -> bool {
    e.get_ref().is_some_and(|inner| inner.is::<Older>())
}
