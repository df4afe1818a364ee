//! Watch of discovery's endpoint list: loads the last known list at the start, then watches without
//! interruption. Each page is passed to the event loop and applied to the stored list. Spawned once
//! by `server`.
//!
//! Whichever call failed, a change counts as reported 6 s after discovery had it and was reachable.
//! The time budget:
//!
//! - A request after a failed one waits for `WAIT_AFTER_FAILURE_MS` and `RESPONSE_GRACE`, 2.5 s,
//!   including its connect (`http_exchange::CONNECT_TIMEOUT`). At most 5 s pass from one request to
//!   the next (`backoff.rs`): discovery that has become reachable is asked within 5 s, and 1 s is
//!   left for connect and response.
//! - A watch waits longer only after a response. If its response begins and never ends: 2 s
//!   (`RESPONSE_TIMEOUT`), the first backoff of at most 2 s, and 2 s left.
//! - If the connection of the watch fails: the first backoff of at most 2 s, and 4 s left.
//! - If the watch is not answered, a change counts as reported 2 s after its wait: of these, half a
//!   second is `RESPONSE_GRACE`, there is no backoff, and 1.5 s are left. With a local agent and in
//!   small fleets a watch waits 4 s, which also ends within the 6 s.

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

/// Time for which discovery holds the request of a watch while nothing changes; discovery allows up
/// to a minute. If the list is pushed, requests to the agent on the same machine cost nothing.
/// Otherwise each request costs the discovery that the complete fleet shares: the wait per
/// forwarder is chosen such that a fleet sends five requests per second, as a hundred forwarders do
/// with 20 s.
const MIN_WAIT_MS: u64 = 4_000;
const MAX_WAIT_MS: u64 = 20_000;
const WAIT_PER_FORWARDER_MS: f64 = 200.0;
/// Wait of the watch after a failed call: an overloaded discovery answered after up to 2 s. The
/// agent answers immediately, so that a missing answer is detected soon.
const WAIT_AFTER_FAILURE_MS: u64 = 2_000;
const AGENT_WAIT_AFTER_FAILURE_MS: u64 = 500;
/// Wait, before `RESPONSE_GRACE`, for the complete list, which discovery sends without waiting for
/// a change, but under the load of other forwarders.
const COMPLETE_LIST_WAIT_MS: u64 = 1_500;
/// Time limit, after its wait, for the response to a watch, which is then restarted on a new
/// connection. A change that the watch missed counts as reported 2 s after the wait (or 6 s after
/// discovery stopped answering, which is later only for shorter waits): the new request has the
/// remaining time for its response.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Time limit from the first byte of a response to its last. A peer that sends more slowly counts
/// as unresponsive.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time limit at the start: the agent answers immediately if discovery is running.
const START_TIMEOUT: Duration = Duration::from_millis(200);
/// Limit of a page's size: some thousands of targets.
const MAX_PAGE_BYTES: usize = 2 << 20;
/// Divisor for the stored list's share of the disk limit.
const DISK_SHARE_DIVISOR: u64 = 40;

/// The endpoint list before the first watch.
pub struct InitialList {
    pub endpoints: Value,
    /// Whether the list was received from discovery at this start.
    is_current: bool,
}

/// Why a request to discovery failed.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    /// There is no valid response.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The response's status is not 200.
    #[error("{0}")]
    Status(String),
    /// The body is not JSON.
    #[error("the list is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The body is not a page of the list.
    #[error("the response is not an endpoint list")]
    NotAList,
    /// The complete list was requested, but changes were received.
    #[error("the received list is not complete")]
    Incomplete,
    /// The page has an older revision than the known one: discovery lags behind, or has restarted
    /// its revisions.
    #[error("the list has revision {listed}, older than {known}")]
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

/// Loads the list that a process starts with. Changes that the agent has already count as reported,
/// so it is asked before anything is sent to a target. If it does not answer, the list that an
/// earlier process stored is used, or `known`, the list in the configuration, if that is newer.
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

/// Watches until the event loop ends. If discovery moves, the watch continues at the new address.
pub async fn run(
    context: ServerContext,
    initial: InitialList,
    to_event_loop: Sender<Input>,
    discovery_moved: Receiver<()>,
) {
    let mut watch = Watch::new(context, initial);
    loop {
        watch.wait_for_retry(&discovery_moved).await;
        let requested_at = Instant::now();
        let since = watch.next_revision();
        let wait_ms = watch.wait_ms(since);
        let answered = async { Some(watch.client.request_list(since, wait_ms).await) };
        let moved = async {
            wait_until_moved(&discovery_moved).await;
            None
        };
        match future::or(moved, answered).await {
            None => {
                // Failures at the previous address do not count for the new one.
                watch.reset_after_move();
                watch.failed = true;
            }
            Some(Ok(page)) => {
                watch.apply_page(&page, requested_at, wait_ms);
                if to_event_loop.send(Input::EndpointPage(page)).await.is_err() {
                    return;
                }
            }
            Some(Err(error)) => watch.on_failure(&error, requested_at, since),
        }
    }
}

/// Returns once discovery has moved; never if the sender is closed.
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
    /// Whether the previous request failed.
    failed: bool,
    /// Time of the next request, if it is delayed.
    retry_at: Option<Instant>,
    request_complete_list: bool,
    /// Text of the last logged failure, which is not logged again with each retry.
    logged_failure: String,
}

impl Watch {
    fn new(context: ServerContext, initial: InitialList) -> Self {
        let config = context.config.clone();
        let mut list = StoredList::default();
        list.apply(&initial.endpoints);
        let max_stored_bytes = config.max_disk_bytes / DISK_SHARE_DIVISOR;
        list.write(&config.state_folder, max_stored_bytes);
        let forwarders = config.decisions.forwarder_count;
        let is_shared = config.names.list_request_interval.is_some();
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
            request_complete_list: false,
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
            self.reset_after_move();
        }
    }

    fn reset_after_move(&mut self) {
        self.logged_failure.clear();
        self.backoff.reset();
    }

    /// Revision since which changes are requested; `None` requests the complete list.
    fn next_revision(&mut self) -> Option<u64> {
        let revision = self.list.revision()?;
        if std::mem::take(&mut self.request_complete_list) {
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

    fn apply_page(&mut self, page: &Value, requested_at: Instant, wait_ms: u64) {
        self.logged_failure.clear();
        self.failed = false;
        let listed = revision(page);
        debug!(self.context.log, "endpoint list received"; "revision" => listed);
        // Without a backoff, a discovery that immediately answers without a new revision would be
        // asked in a tight loop.
        let is_new_revision = listed.is_some() && listed != self.list.revision();
        if !is_new_revision && requested_at.elapsed() < Duration::from_millis(wait_ms / 2) {
            self.retry_at = Some(self.backoff.retry_at(requested_at, Instant::now(), false));
        } else {
            self.backoff.reset();
        }
        self.list.apply(page);
        self.list
            .write(&self.context.config.state_folder, self.max_stored_bytes);
    }

    fn on_failure(&mut self, error: &WatchError, requested_at: Instant, since: Option<u64>) {
        self.client.disconnect();
        self.failed = true;
        // After an older revision the complete list is requested once, to get the current list of
        // discovery; each other retry requests changes.
        let is_older = matches!(error, WatchError::OlderRevision { .. });
        self.request_complete_list = since.is_some() && is_older;
        let failure = error.to_string();
        if failure != self.logged_failure {
            warn!(self.context.log, "discovery failed"; "error" => &failure);
            self.logged_failure = failure;
        }
        let retry_at = self
            .backoff
            .retry_at(requested_at, Instant::now(), error.is_timeout());
        self.retry_at = Some(retry_at);
    }
}

/// A client with one connection to discovery, and a buffer for its responses.
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

    /// Requests the changes since revision `since`, or the complete list without one; discovery may
    /// wait `wait_ms` milliseconds for a change.
    ///
    /// # Errors
    /// There is no response in time, or the response is not a page of the requested kind.
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
        plankhill_http1::write_request(&mut request, "GET", &path, &[("Host", &address)], 0)
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
        // A watch expects a newer revision: discovery lags behind, or has restarted its revisions.
        // The entries of an older page may have changed since; if the revisions have restarted, the
        // complete list has the current entries.
        (Some(listed), Some(known)) if listed < known => {
            Err(WatchError::OlderRevision { listed, known })
        }
        (_, None) if !is_complete(&page) => Err(WatchError::Incomplete),
        _ => Ok(page),
    }
}
