//! The list of targets: what was last known at the start, then a watch on discovery without a break.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use plankhill::decide::Forwarder;
use plankhill::interface::*;
use plankhill_terms::fields::*;
use plankhill_terms::Names;
use serde_json::Value;
use slog::{debug, warn};

use crate::exchange::{ask, until, Stream};
use crate::kept::{self, Kept};
use crate::pause::Pause;
use crate::rounds::CameIn;
use crate::Common;

/// A watch's answer comes at the latest after so long, in milliseconds; discovery allows up to a minute.
const WATCH: u64 = 20_000;
/// Past that discovery is silent, and the watch is asked for anew, on a new connection.
const SILENT: Duration = Duration::from_millis(WATCH + 2_000);
/// The agent answers at once, if discovery is up.
const AT_START: Duration = Duration::from_millis(200);
/// Longest list that is read: some thousands of targets.
const LONGEST: usize = 2 << 20;

/// What the agent has by now counts as told: it is asked before anything is sent. While it is silent, the
/// list holds that an earlier process kept, or `known`, the one in the configuration, if that is newer.
pub async fn at_start(common: &Common, known: Value) -> Value {
    let (mut bytes, mut stream) = (vec![0; LONGEST], None);
    let asked = until(Instant::now() + AT_START, watch(common, None, &mut stream, &mut bytes)).await;
    match asked {
        Some(Ok(page)) if is_whole(&page) => return page,
        Some(Err(e)) => warn!(common.log, "discovery cannot be asked at the start"; "error" => %e),
        _ => warn!(common.log, "discovery is silent at the start"),
    }
    kept::read(&common.told.state).filter(|kept| revision(kept) >= revision(&known)).unwrap_or(known)
}

pub fn is_whole(page: &Value) -> bool {
    page.get("complete") == Some(&Value::Bool(true))
}

pub fn revision(page: &Value) -> Option<u64> {
    page.get("revision").and_then(Value::as_u64)
}

/// Watches until the rounds end. When discovery moves, the watch goes on at its new address.
pub async fn run(common: Common, known: Value, to_rounds: Sender<CameIn>, moved: Receiver<()>) {
    // It has a small part of the disk.
    let most = common.told.disk / 40;
    let mut list = Kept::default();
    list.take(&known);
    drop(known);
    list.write(&common.told.state, most);
    let (mut bytes, mut stream) = (vec![0; LONGEST], None);
    let mut trouble = String::new();
    let mut pause = Pause::new(common.told.terms.seed, &common.told.name, common.told.terms.forwarders);
    loop {
        let moves = async {
            if moved.recv().await.is_err() {
                future::pending::<()>().await;
            }
            None
        };
        let page = async { Some(watch(&common, list.revision(), &mut stream, &mut bytes).await) };
        match future::or(moves, page).await {
            None => {
                // Another address: its first refusal is its own.
                trouble.clear();
                pause.answered();
            }
            Some(Ok(page)) => {
                trouble.clear();
                pause.answered();
                debug!(common.log, "list"; "revision" => revision(&page));
                list.take(&page);
                list.write(&common.told.state, most);
                if to_rounds.send(CameIn::List(page)).await.is_err() {
                    return;
                }
            }
            Some(Err(e)) => {
                stream = None;
                // Told once, not with each try.
                if std::mem::replace(&mut trouble, e.to_string()) != trouble {
                    warn!(common.log, "discovery cannot be asked"; "error" => %e);
                }
                Timer::after(pause.next()).await;
            }
        }
    }
}

async fn watch(
    common: &Common,
    since: Option<u64>,
    kept: &mut Option<Stream>,
    bytes: &mut [u8],
) -> io::Result<Value> {
    let until_silent = Instant::now() + SILENT;
    let path = match since {
        Some(since) => format!("/discovery/hosts?since={since}&timeout_ms={WATCH}"),
        None => "/discovery/hosts".into(),
    };
    let mut request = Vec::new();
    let to = common.discovery.get();
    plankhill_http1::request(&mut request, "GET", &path, &[("Host", &to)], 0)?;
    let exchange = async {
        let answer = ask(kept, to, &request, bytes).await?;
        let bad = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
        let head = &bytes[answer.head.clone()];
        if plankhill_http1::ResponseHead::read(head).map_err(|e| bad(e.to_string()))?.status != 200 {
            return Err(bad(String::from_utf8_lossy(head).lines().next().unwrap_or_default().to_owned()));
        }
        serde_json::from_slice(&bytes[answer.body]).map_err(|e| bad(format!("the list is not JSON: {e}")))
    };
    until(until_silent, exchange).await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Hands a page of the list to the decisions; `place` learns where each target stands
/// and says what the decisions hear of it, `gone` learns which went.
/// An entry that can't be read is left out and told to `bad`.
pub fn hand_over(
    page: &Value,
    names: &Names,
    to: &mut Forwarder,
    mut place: impl FnMut(&TargetId, SocketAddr, ZoneId, Listing) -> Listing,
    mut gone: impl FnMut(&TargetId),
    mut bad: impl FnMut(String),
) {
    for entry in page.get("members").and_then(Value::as_array).into_iter().flatten() {
        let mut read = || -> Plain<()> {
            let entry = entry.as_object().ok_or("not an object")?;
            let target = TargetId(text(entry, "id")?.into());
            let listing = match text(entry, "phase")? {
                "up" => Listing::Running,
                "draining" => Listing::Leaving,
                "removed" => Listing::Gone,
                other => return Err(format!("phase: unknown word {other:?}")),
            };
            if listing == Listing::Gone {
                to.relisted(&target, Listing::Gone);
                gone(&target);
                return Ok(());
            }
            let address = text(entry, "host_port")?;
            let address = address.parse().map_err(|_| format!("host_port: {address:?} is no address"))?;
            let kind = KindId(self::place(&names.kinds, text(entry, "flavor")?, "flavor")?);
            let zone = ZoneId(self::place(&names.zones, text(entry, "locality")?, "locality")?);
            let destination = DestinationId(whole(entry, "cell")?);
            let listing = place(&target, address, zone, listing);
            to.listed(target, destination, kind, zone, listing);
            if names.sizes_are_rates {
                // An entry is not lost over its size: it counts as untold.
                to.rate_told(destination, optional_number(entry, "size").unwrap_or(0.0));
            }
            Ok(())
        };
        if let Err(what) = read() {
            bad(what);
        }
    }
}
