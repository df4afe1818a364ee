//! All connections of clients, and those of them that wait for their peer. When too many
//! connections are open, waiting connections are evicted to make room for new ones, in the order of
//! [`WaitReason`] and with the longest wait first.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use futures_lite::future;

use super::rejection_log::RejectionLog;
use crate::count_guard::CountGuard;
use crate::stream::until;

/// Idle timeout of a connection that served requests before: some clients never close their
/// connections, and have a limit on their number. A shorter timeout would race with new
/// requests of returning clients.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the second request of a connection while many connections are open: clients have a
/// limit on their connections, and connections that stay open after one request prevent a client
/// from opening others for new events.
const SECOND_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which a connection is expected to send its first request: the request follows
/// directly after the connection is opened, but may arrive after the next connection.
pub(super) const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);

/// What a connection waits for, in the order in which connections are evicted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WaitReason {
    /// The peer's close, after the last response.
    Close,
    /// Buffer space for a response that the peer does not read.
    Write,
    /// A turn of the executor for a request that arrived before the last response was sent.
    Pipelined,
    /// The first request.
    FirstRequest,
    /// The second request.
    SecondRequest,
    /// A further request.
    NextRequest,
    /// The remaining part of a request.
    RestOfRequest,
}

/// Reason for which a wait ended early.
pub(super) enum WaitEnded {
    TimedOut,
    /// Another connection needed the place or the buffer.
    Evicted,
}

/// Order in which waiting connections are evicted: by reason, then by the number of the wait.
type WaitKey = (WaitReason, u64);

struct Waiting {
    since: Instant,
    /// Dropped to end the wait.
    _eviction_guard: Sender<()>,
}

/// The number of open client connections, and the waits of those that wait for their peer.
pub(super) struct ConnectionTable {
    open: Rc<Cell<usize>>,
    /// Number of open connections beyond which waiting connections are evicted for each new one.
    soft_limit: Cell<usize>,
    waits_begun: Cell<u64>,
    waiting: RefCell<BTreeMap<WaitKey, Waiting>>,
    rejection_log: RejectionLog,
}

impl ConnectionTable {
    /// `open` counts the connections that are open.
    pub(super) fn new(open: Rc<Cell<usize>>) -> Self {
        ConnectionTable {
            open,
            soft_limit: Cell::new(0),
            waits_begun: Cell::new(0),
            waiting: RefCell::default(),
            rejection_log: RejectionLog::default(),
        }
    }

    pub(super) fn rejection_log(&self) -> &RejectionLog {
        &self.rejection_log
    }

    pub(super) fn set_soft_limit(&self, connections: usize) {
        self.soft_limit.set(connections);
    }

    /// Counts one more connection; none if `max` are open.
    pub(super) fn try_count(&self, max: usize) -> Option<CountGuard> {
        CountGuard::try_new(&self.open, max)
    }

    /// Evicts one waiting connection for each by which the open connections and the new one exceed
    /// the soft limit, those with the least [`WaitReason`] first; some of them may continue with
    /// bytes that have just arrived. Returns whether there is room for one more connection.
    pub(super) fn evict_excess(&self) -> bool {
        let excess = (self.open.get() + 1).saturating_sub(self.soft_limit.get());
        let mut ended = 0;
        for _ in 0..excess {
            if self.evict_first() {
                ended += 1;
            }
        }
        excess == 0 || ended > 0
    }

    /// Evicts the first waiting connection. A connection that was only just opened, and whose first
    /// request is about to follow, is spared while there are others. False if no connection waits.
    fn evict_first(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let may_end = |key: &WaitKey, wait: &Waiting| {
            key.0 != WaitReason::FirstRequest || wait.since.elapsed() > FIRST_REQUEST_GRACE
        };
        let first = waiting
            .iter()
            .find(|(key, wait)| may_end(key, wait))
            .or(waiting.iter().next())
            .map(|(key, _)| *key);
        match first {
            Some(key) => waiting.remove(&key).is_some(),
            None => false,
        }
    }

    /// Evicts the connection that has been waiting for the rest of a request for the longest time,
    /// which frees its buffer. False if none has been waiting for longer than
    /// [`FIRST_REQUEST_GRACE`], the time that a well-behaved client takes.
    pub(super) fn free_buffer(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let oldest = waiting.range((WaitReason::RestOfRequest, 0)..).next();
        let key = match oldest {
            Some((key, wait)) if wait.since.elapsed() > FIRST_REQUEST_GRACE => *key,
            _ => return false,
        };
        waiting.remove(&key).is_some()
    }

    /// How long a connection that served one request may remain open without another. Many
    /// connections are open if they are over a quarter of the soft limit.
    pub(super) fn second_request_timeout(&self) -> Duration {
        let many_open = 4 * self.open.get() > self.soft_limit.get();
        if many_open {
            SECOND_REQUEST_TIMEOUT
        } else {
            IDLE_TIMEOUT
        }
    }

    /// Waits for the future until `deadline`.
    ///
    /// # Errors
    /// The wait timed out, or the connection was evicted first.
    pub(super) async fn wait<T>(
        &self,
        reason: WaitReason,
        deadline: Instant,
        future: impl Future<Output = T>,
    ) -> Result<T, WaitEnded> {
        let (eviction_guard, evicted) = async_channel::bounded(1);
        let _registered = self.register(reason, eviction_guard);
        let evicted = async {
            let _ = evicted.recv().await;
            Err(WaitEnded::Evicted)
        };
        let completed = async { Ok(future.await) };
        let first = match reason {
            // Eviction has precedence: the connection would only continue to its next wait, and be
            // out of the way only for a moment.
            WaitReason::Write | WaitReason::Pipelined => {
                until(deadline, future::or(evicted, completed)).await
            }
            // Bytes that have just arrived have precedence over the eviction.
            _ => until(deadline, future::or(completed, evicted)).await,
        };
        first.unwrap_or(Err(WaitEnded::TimedOut))
    }

    fn register(&self, reason: WaitReason, eviction_guard: Sender<()>) -> Registration<'_> {
        let number = self.waits_begun.get() + 1;
        self.waits_begun.set(number);
        let key = (reason, number);
        let wait = Waiting {
            since: Instant::now(),
            _eviction_guard: eviction_guard,
        };
        self.waiting.borrow_mut().insert(key, wait);
        Registration { table: self, key }
    }
}

/// A wait's entry in the table, until the wait is over.
struct Registration<'a> {
    table: &'a ConnectionTable,
    key: WaitKey,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.table.waiting.borrow_mut().remove(&self.key);
    }
}
