//! Connections to targets: kept open between calls, bounded for each target.

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

use crate::facts::text;
use crate::headers::says_close;

/// Idle connections are given up this long before the target closes them, so that no request meets the close.
const MARGIN: Duration = Duration::from_millis(400);
/// How long a connection rests where the target states no time: it has less than a whole second then.
const UNSTATED: Duration = Duration::from_millis(150);

/// Ends the task that drives a connection when the connection is no longer wanted.
#[derive(Debug)]
pub struct Driver(pub JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Counts one open connection of a target for as long as it lives.
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

/// An open connection, in use by one call or idle.
#[derive(Debug)]
pub struct TargetConnection {
    /// Takes requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether an answer has come over it before.
    pub reused: bool,
    /// Keeps the connection driven.
    pub driver: Driver,
    /// Counts it.
    pub permit: OpenPermit,
}

#[derive(Debug)]
struct Idle {
    connection: TargetConnection,
    until: Instant,
}

#[derive(Debug, Default)]
struct OfTarget {
    /// The one used last is at the end.
    idle: Vec<Idle>,
    open: usize,
}

/// All connections to targets, by the target's id: an address used again never meets an old connection.
#[derive(Debug, Default)]
pub struct TargetPool {
    targets: RefCell<HashMap<InstanceId, OfTarget>>,
}

impl TargetPool {
    /// An idle connection that was used last, if there is one that can still be used.
    pub fn take_idle(&self, target: &InstanceId, now: Instant) -> Option<TargetConnection> {
        let mut unusable = Vec::new();
        let found = {
            let mut targets = self.targets.borrow_mut();
            let of_target = targets.get_mut(target)?;
            loop {
                match of_target.idle.pop() {
                    None => break None,
                    Some(idle) if usable(&idle, now) => break Some(idle.connection),
                    Some(idle) => unusable.push(idle),
                }
            }
        };
        // Dropped without the borrow: their permits count themselves out.
        drop(unusable);
        found
    }

    /// Leave to open one more connection, if fewer than `most` are open.
    pub fn permit(self: &Rc<Self>, target: &InstanceId, most: usize) -> Option<OpenPermit> {
        let mut targets = self.targets.borrow_mut();
        let of_target = targets.entry(target.clone()).or_default();
        if of_target.open >= most {
            return None;
        }
        of_target.open += 1;
        Some(OpenPermit {
            pool: self.clone(),
            target: target.clone(),
        })
    }

    /// Keeps a connection whose answer came whole, unless the answer's head speaks against it.
    pub fn put_back(&self, mut connection: TargetConnection, head: &HeaderMap, now: Instant) {
        if says_close(head) || connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let target = connection.permit.target.clone();
        let until = now + rest(head);
        let expired = {
            let mut targets = self.targets.borrow_mut();
            let of_target = targets.entry(target).or_default();
            let expired: Vec<Idle> = of_target
                .idle
                .extract_if(.., |idle| !usable(idle, now))
                .collect();
            of_target.idle.push(Idle { connection, until });
            expired
        };
        drop(expired);
    }

    /// Closes the connections to a target that no call uses.
    pub fn close_idle(&self, target: &InstanceId) {
        let idle = match self.targets.borrow_mut().get_mut(target) {
            Some(of_target) => std::mem::take(&mut of_target.idle),
            None => return,
        };
        drop(idle);
    }

    /// Closes every idle connection that has rested long enough, or whose target is not `known`.
    pub fn sweep(&self, now: Instant, known: impl Fn(&InstanceId) -> bool) {
        let unusable: Vec<Idle> = self
            .targets
            .borrow_mut()
            .iter_mut()
            .flat_map(|(target, of_target)| {
                let gone = !known(target);
                of_target
                    .idle
                    .extract_if(.., move |idle| gone || !usable(idle, now))
                    .collect::<Vec<_>>()
            })
            .collect();
        drop(unusable);
    }

    /// Idle connections that can still be used.
    pub fn usable(&self, now: Instant) -> usize {
        let targets = self.targets.borrow();
        targets
            .values()
            .flat_map(|of_target| &of_target.idle)
            .filter(|idle| usable(idle, now))
            .count()
    }

    /// Connections open to all targets.
    pub fn open(&self) -> usize {
        self.targets
            .borrow()
            .values()
            .map(|of_target| of_target.open)
            .sum()
    }

    fn release(&self, target: &InstanceId) {
        let mut targets = self.targets.borrow_mut();
        let Some(of_target) = targets.get_mut(target) else {
            return;
        };
        of_target.open = of_target.open.saturating_sub(1);
        if of_target.open == 0 && of_target.idle.is_empty() {
            targets.remove(target);
        }
    }
}

fn usable(idle: &Idle, now: Instant) -> bool {
    idle.until > now && !idle.connection.sender.is_closed()
}

/// How long a connection may rest after an answer with this head.
fn rest(head: &HeaderMap) -> Duration {
    match text(head, "keep-alive").and_then(keep_alive_seconds) {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(MARGIN),
        None => UNSTATED,
    }
}

fn keep_alive_seconds(value: &str) -> Option<u64> {
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout
        .trim()
        .parse()
        .ok()
        .filter(|seconds| *seconds <= 3_600)
}
