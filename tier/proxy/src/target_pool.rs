//! Pool of connections to targets, which stay open between attempts and are limited for each
//! target. One pool is shared by all tasks of the process.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HeaderMap;
use plankhill_protocol::ids::InstanceId;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::headers::has_close_option;
use crate::request_headers::header_text;

/// Idle connections are closed this long before the target closes them, so that no request races
/// with the close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// The idle timeout if the target states none: the target's timeout is then less than one second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(150);
/// A longer timeout in `Keep-Alive` is ignored.
const MAX_KEEP_ALIVE_SECONDS: u64 = 3_600;

/// Aborts the task that drives a connection when the connection is dropped.
#[derive(Debug)]
pub struct ConnectionDriver(pub JoinHandle<()>);

impl Drop for ConnectionDriver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Counts as one open connection to a target until it is dropped.
#[derive(Debug)]
pub struct OpenPermit {
    pool: Rc<TargetPool>,
    target: InstanceId,
}

impl Drop for OpenPermit {
    fn drop(&mut self) {
        self.pool.release(&self.target);
    }
}

/// An open connection, in use by one attempt or idle.
#[derive(Debug)]
pub struct TargetConnection {
    /// Sends requests over the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether a response has arrived over the connection before.
    pub reused: bool,
    /// The task that drives the connection.
    pub driver: ConnectionDriver,
    /// The permit that counts the connection.
    pub permit: OpenPermit,
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    usable_until: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        self.usable_until > now && !self.connection.sender.is_closed()
    }
}

/// The connections to one target.
#[derive(Debug, Default)]
struct TargetConnections {
    /// The idle connections, with the most recently used one at the end.
    idle: Vec<IdleConnection>,
    /// Number of connections in use or idle.
    open: usize,
}

/// All connections to targets, keyed by target id: no old connection is used for a new target at
/// the same address.
///
/// Connections are dropped only while `targets` is not borrowed: dropping a permit borrows
/// `targets` to decrement the count.
#[derive(Debug, Default)]
pub struct TargetPool {
    targets: RefCell<HashMap<InstanceId, TargetConnections>>,
}

impl TargetPool {
    /// Takes the most recently used idle connection that is still usable, if there is one.
    pub fn take_idle(&self, target: &InstanceId, now: Instant) -> Option<TargetConnection> {
        let mut unusable = Vec::new();
        let found = {
            let mut targets = self.targets.borrow_mut();
            let connections = targets.get_mut(target)?;
            loop {
                match connections.idle.pop() {
                    None => break None,
                    Some(idle) if idle.is_usable(now) => break Some(idle.connection),
                    Some(idle) => unusable.push(idle),
                }
            }
        };
        drop(unusable);
        found
    }

    /// Returns a permit to open one more connection, if fewer than `max` are open.
    pub fn acquire_permit(self: &Rc<Self>, target: &InstanceId, max: usize) -> Option<OpenPermit> {
        let mut targets = self.targets.borrow_mut();
        let connections = targets.entry(target.clone()).or_default();
        if connections.open >= max {
            return None;
        }
        connections.open += 1;
        Some(OpenPermit {
            pool: self.clone(),
            target: target.clone(),
        })
    }

    /// Puts a connection back whose response arrived completely, unless the head of the response
    /// has `Connection: close` or the connection is closed.
    pub fn put_back(&self, mut connection: TargetConnection, head: &HeaderMap, now: Instant) {
        if has_close_option(head) || connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let target = connection.permit.target.clone();
        let usable_until = now + idle_timeout(head);
        let expired = {
            let mut targets = self.targets.borrow_mut();
            let connections = targets.entry(target).or_default();
            let expired: Vec<IdleConnection> = connections
                .idle
                .extract_if(.., |idle| !idle.is_usable(now))
                .collect();
            connections.idle.push(IdleConnection {
                connection,
                usable_until,
            });
            expired
        };
        drop(expired);
    }

    /// Closes the connections to a target that no attempt uses.
    pub fn close_idle(&self, target: &InstanceId) {
        let idle = match self.targets.borrow_mut().get_mut(target) {
            Some(connections) => std::mem::take(&mut connections.idle),
            None => return,
        };
        drop(idle);
    }

    /// Closes every idle connection that is no longer usable, or whose target is not `known`.
    pub fn sweep(&self, now: Instant, known: impl Fn(&InstanceId) -> bool) {
        let mut unusable: Vec<IdleConnection> = Vec::new();
        for (target, connections) in self.targets.borrow_mut().iter_mut() {
            let is_known = known(target);
            let closed = connections
                .idle
                .extract_if(.., |idle| !is_known || !idle.is_usable(now));
            unusable.extend(closed);
        }
        drop(unusable);
    }

    /// Number of usable idle connections.
    pub fn usable_idle_count(&self, now: Instant) -> usize {
        let targets = self.targets.borrow();
        let idle = targets.values().flat_map(|connections| &connections.idle);
        idle.filter(|idle| idle.is_usable(now)).count()
    }

    /// Number of open connections to all targets.
    pub fn open_count(&self) -> usize {
        self.targets
            .borrow()
            .values()
            .map(|connections| connections.open)
            .sum()
    }

    fn release(&self, target: &InstanceId) {
        let mut targets = self.targets.borrow_mut();
        let Some(connections) = targets.get_mut(target) else {
            return;
        };
        connections.open = connections.open.saturating_sub(1);
        if connections.open == 0 && connections.idle.is_empty() {
            targets.remove(target);
        }
    }
}

/// How long a connection may be idle after a response with this head.
fn idle_timeout(head: &HeaderMap) -> Duration {
    match header_text(head, "keep-alive").and_then(keep_alive_seconds) {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_TIMEOUT_MARGIN),
        None => DEFAULT_IDLE_TIMEOUT,
    }
}

/// The `timeout` parameter of a `Keep-Alive` header (RFC 2068, section 19.7.1.1).
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds = timeout.trim().parse().ok()?;
    (seconds <= MAX_KEEP_ALIVE_SECONDS).then_some(seconds)
}
