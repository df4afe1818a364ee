//! The watch on discovery's endpoint list: what was last known at the start, then a watch without a break. Each page goes
//! to the event loop and into the stored list. Spawned once by `server`.
//!
//! Whatever call failed, a change counts as reported 6 s after discovery had it and could be reached. The sum:
//!
//! - A request after a failed one waits for `WAIT_AFTER_FAILURE` and `RESPONSE_GRACE`, 2.5 s, its connect within that
//!   (`http_exchange::CONNECT_TIMEOUT`). From one request to the next pass 5 s at most (`backoff.rs`): discovery that
//!   can be reached now is asked within 5 s, and 1 s is left for connect and response.
//! - A watch waits longer only behind a response. If its response begins and never ends: 2 s (`RESPONSE_TIMEOUT`), the
//!   first backoff, 2 s at most, and 2 s left.
//! - If the watch breaks off: the first backoff, 2 s at most, and 4 s left.
//! - If the watch is silent and then has its own time, 2 s past its wait: half a second of it (`RESPONSE_GRACE`), no
//!   backoff, and 1.5 s left. Beside an agent and in small fleets a watch waits 4 s, and that too ends within the 6 s.

use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::future;
use plankhill_http1::ResponseHead;
use serde_json::Value;
use slog::{debug, warn};

use super::backoff::Backoff;
use super::stored_list::{self, StoredList};
use crate::context::ServerContext;
use crate::endpoint_page::{is_complete, is_page, revision};
use crate::http_exchange::{exchange, ExchangeError};
use crate::messages::Input;
use crate::stream::{until, Stream};

/// How long a watch waits at discovery, which allows up to a minute. Where the list is pushed an agent on the same
/// machine answers at no cost. Elsewhere each request costs the discovery of the whole fleet: so long for each forwarder
/// that a fleet asks five times a second, as a hundred do with 20 s, while nothing changes.
const MIN_WAIT_MS: u64 = 4_000;
const MAX_WAIT_MS: u64 = 20_000;
const WAIT_PER_FORWARDER_MS: f64 = 200.0;
/// How long a watch behind a failed call waits: an overbooked discovery answered after up to 2 s. The agent answers at
/// once, and its silence is found out at once.
const WAIT_AFTER_FAILURE_MS: u64 = 2_000;
const AGENT_WAIT_AFTER_FAILURE_MS: u64 = 500;
/// A request for the complete list is answered at once, by a discovery that many ask as well.
const COMPLETE_LIST_WAIT_MS: u64 = 1_500;
/// After its wait a watch is answered within that, or is begun anew on a new connection. What it missed counts as
/// reported 2 s after the wait (or 6 s after its silence began, which is later only for shorter waits): the new request
/// has the rest of that time for its response.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// From a response's first byte to its last: a peer that trickles counts as silent.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// At the start: the agent answers at once, if discovery is up.
const START_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest page that is read: some thousands of targets.
const MAX_PAGE_BYTES: usize = 2 << 20;
/// The stored list's share of the disk, as a divisor.
const DISK_SHARE: u64 = 40;

/// What is known of the targets before the first watch.
pub struct InitialList {
    pub endpoints: Value,
    /// Whether discovery said so just now.
    is_current: bool,
}

/// Why a request to discovery failed.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    /// There is no response.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The response's status is another than 200.
    #[error("{0}")]
    Status(String),
    /// The body is no JSON.
    #[error("the list is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The body is no page of the list.
    #[error("what was answered is no list")]
    NotAList,
    /// The complete list was asked for, and changes were answered.
    #[error("the list that was answered is not whole")]
    Incomplete,
    /// The page is of an older revision than the watch asked for: discovery is behind, or has begun anew.
    #[error("the list is of revision {listed}, older than {known}")]
    OlderRevision { listed: u64, known: u64 },
}

impl WatchError {
    fn is_timeout(&self) -> bool {
        match self {
            WatchError::Exchange(error) => error.is_timeout(),
            _ => false,
        }
    }
}

/// The list that a process starts with. What the agent has by now counts as reported: it is asked before anything is
/// sent. While it is silent, the list holds that an earlier process stored, or `known`, the one in the configuration, if
/// that is newer.
pub async fn load_initial(context: &ServerContext, known: Value) -> InitialList {
    let mut client = DiscoveryClient::new(context.clone());
    let request = client.request_list(None, COMPLETE_LIST_WAIT_MS);
    match until(Instant::now() + START_TIMEOUT, request).await {
        Some(Ok(page)) if is_complete(&page) => {
            return InitialList {
                endpoints: page,
                is_current: true,
            };
        }
        Some(Err(error)) => {
            warn!(context.log, "discovery failed at the start"; "error" => %error);
        }
        _ => warn!(context.log, "discovery timed out at the start"),
    }
    let stored = stored_list::read(&context.config.state_folder)
        .filter(|stored| revision(stored) >= revision(&known));
    InitialList {
        endpoints: stored.unwrap_or(known),
        is_current: false,
    }
}

/// Watches until the event loop ends. When discovery moves, the watch goes on at the new address.
pub async fn run(
    context: ServerContext,
    initial: InitialList,
    to_event_loop: Sender<Input>,
    discovery_moved: Receiver<()>,
) {
    let mut watch = Watch::new(context, initial);
    loop {
        watch.wait_for_retry(&discovery_moved).await;
        let asked = Instant::now();
        let since = watch.next_revision();
        let wait_ms = watch.wait_ms(since);
        let answered = async { Some(watch.client.request_list(since, wait_ms).await) };
        let moved = async {
            wait_until_moved(&discovery_moved).await;
            None
        };
        match future::or(moved, answered).await {
            None => {
                // Another address: its first refusal is its own, and so is its first timeout.
                watch.start_afresh();
                watch.failed = true;
            }
            Some(Ok(page)) => {
                watch.apply_page(&page, asked, wait_ms);
                if to_event_loop.send(Input::EndpointPage(page)).await.is_err() {
                    return;
                }
            }
            Some(Err(error)) => watch.on_failure(&error, asked, since),
        }
    }
}

/// Returns once discovery has moved; never if it cannot move any more.
async fn wait_until_moved(discovery_moved: &Receiver<()>) {
    if discovery_moved.recv().await.is_err() {
        future::pending::<()>().await;
    }
}

/// The state of the watch between requests.
struct Watch {
    context: ServerContext,
    client: DiscoveryClient,
    list: StoredList,
    backoff: Backoff,
    wait_ms: u64,
    wait_after_failure_ms: u64,
    max_stored_bytes: u64,
    /// Whether the request before failed.
    failed: bool,
    /// When to ask again.
    retry_at: Option<Instant>,
    ask_complete_list: bool,
    /// Text of the last failure: each is logged once, not with each retry.
    logged_failure: String,
}

impl Watch {
    fn new(context: ServerContext, initial: InitialList) -> Self {
        let config = context.config.clone();
        let mut list = StoredList::default();
        list.apply(&initial.endpoints);
        let max_stored_bytes = config.max_disk_bytes / DISK_SHARE;
        list.write(&config.state_folder, max_stored_bytes);
        let forwarders = config.decisions.forwarder_count;
        let is_shared = config.names.ask_within.is_some();
        let mut backoff = match is_shared {
            true => Backoff::for_fleet(config.decisions.seed, &config.name, forwarders),
            false => Backoff::for_local_agent(),
        };
        let failed = !initial.is_current;
        let now = Instant::now();
        let retry_at = failed.then(|| backoff.retry_at(now, now, false));
        let fleet_wait_ms = (WAIT_PER_FORWARDER_MS * forwarders) as u64;
        Watch {
            client: DiscoveryClient::new(context.clone()),
            context,
            list,
            backoff,
            wait_ms: match is_shared {
                true => fleet_wait_ms.clamp(MIN_WAIT_MS, MAX_WAIT_MS),
                false => MIN_WAIT_MS,
            },
            wait_after_failure_ms: match is_shared {
                true => WAIT_AFTER_FAILURE_MS,
                false => AGENT_WAIT_AFTER_FAILURE_MS,
            },
            max_stored_bytes,
            failed,
            retry_at,
            ask_complete_list: false,
            logged_failure: String::new(),
        }
    }

    async fn wait_for_retry(&mut self, discovery_moved: &Receiver<()>) {
        let Some(retry_at) = self.retry_at.take() else {
            return;
        };
        if until(retry_at, wait_until_moved(discovery_moved))
            .await
            .is_some()
        {
            self.start_afresh();
        }
    }

    fn start_afresh(&mut self) {
        self.logged_failure.clear();
        self.backoff.reset();
    }

    /// The revision whose changes are asked for; none for the complete list.
    fn next_revision(&mut self) -> Option<u64> {
        let revision = self.list.revision()?;
        if std::mem::take(&mut self.ask_complete_list) {
            return None;
        }
        Some(revision)
    }

    fn wait_ms(&self, since: Option<u64>) -> u64 {
        match since {
            Some(_) if self.failed => self.wait_after_failure_ms,
            Some(_) => self.wait_ms,
            None => COMPLETE_LIST_WAIT_MS,
        }
    }

    fn apply_page(&mut self, page: &Value, asked: Instant, wait_ms: u64) {
        self.logged_failure.clear();
        self.failed = false;
        let listed = revision(page);
        debug!(self.context.log, "endpoint list received"; "revision" => listed);
        // A discovery that answers at once that there is nothing new would be asked without end.
        let is_news = listed.is_some() && listed != self.list.revision();
        if !is_news && asked.elapsed() < Duration::from_millis(wait_ms / 2) {
            self.retry_at = Some(self.backoff.retry_at(asked, Instant::now(), false));
        } else {
            self.backoff.reset();
        }
        self.list.apply(page);
        self.list
            .write(&self.context.config.state_folder, self.max_stored_bytes);
    }

    fn on_failure(&mut self, error: &WatchError, asked: Instant, since: Option<u64>) {
        self.client.disconnect();
        self.failed = true;
        // The complete list is asked for once, as what discovery holds now; with each other retry the changes.
        let is_older = matches!(error, WatchError::OlderRevision { .. });
        self.ask_complete_list = since.is_some() && is_older;
        let failure = error.to_string();
        if failure != self.logged_failure {
            warn!(self.context.log, "discovery failed"; "error" => &failure);
            self.logged_failure = failure;
        }
        let retry_at = self
            .backoff
            .retry_at(asked, Instant::now(), error.is_timeout());
        self.retry_at = Some(retry_at);
    }
}

/// A connection to discovery, and the buffer for its responses.
struct DiscoveryClient {
    context: ServerContext,
    idle: Option<Stream>,
    buffer: Vec<u8>,
}

impl DiscoveryClient {
    fn new(context: ServerContext) -> Self {
        DiscoveryClient {
            context,
            idle: None,
            buffer: vec![0; MAX_PAGE_BYTES],
        }
    }

    fn disconnect(&mut self) {
        self.idle = None;
    }

    /// Asks for what is newer than `since`, or without that for the complete list; discovery may wait `wait_ms`
    /// milliseconds for a change.
    ///
    /// # Errors
    /// There is no response in time, or it is no page that was asked for.
    async fn request_list(
        &mut self,
        since: Option<u64>,
        wait_ms: u64,
    ) -> Result<Value, WatchError> {
        let path = match since {
            Some(since) => format!("/discovery/hosts?since={since}&timeout_ms={wait_ms}"),
            None => "/discovery/hosts".into(),
        };
        let deadline = Instant::now() + Duration::from_millis(wait_ms) + RESPONSE_GRACE;
        let address = self.context.discovery_address.get();
        let mut request = Vec::new();
        plankhill_http1::request(&mut request, "GET", &path, &[("Host", &address)], 0)
            .map_err(ExchangeError::from)?;
        let exchanged = async {
            let idle = &mut self.idle;
            let buffer = &mut self.buffer;
            let response = exchange(idle, address, &request, buffer, RESPONSE_TIMEOUT).await?;
            parse_page(
                &self.buffer[response.head],
                &self.buffer[response.body],
                since,
            )
        };
        match until(deadline, exchanged).await {
            Some(page) => page,
            None => Err(ExchangeError::TimedOut.into()),
        }
    }
}

fn parse_page(head: &[u8], body: &[u8], since: Option<u64>) -> Result<Value, WatchError> {
    let status = ResponseHead::read(head)
        .map_err(ExchangeError::from)?
        .status;
    if status != 200 {
        let first_line = String::from_utf8_lossy(head)
            .lines()
            .next()
            .unwrap_or_default()
            .to_owned();
        return Err(WatchError::Status(first_line));
    }
    let page: Value = serde_json::from_slice(body)?;
    if !is_page(&page) {
        return Err(WatchError::NotAList);
    }
    match (revision(&page), since) {
        // A watch waits for a newer revision: discovery is behind, or began anew. Changes in an older page were changed
        // since; what discovery holds, if it began anew, the complete list says.
        (Some(listed), Some(known)) if listed < known => {
            Err(WatchError::OlderRevision { listed, known })
        }
        (_, None) if !is_complete(&page) => Err(WatchError::Incomplete),
        _ => Ok(page),
    }
}
