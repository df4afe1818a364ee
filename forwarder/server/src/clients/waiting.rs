//! All connections of clients, and those of them that wait for their peer: when there are too many, connections that
//! wait make room for new ones, in the order of [`WaitReason`] and the longest wait first.

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

/// A connection that served requests before and gets none for so long is closed: some clients never close theirs, and
/// have a limit on their number. Sooner would cross the requests of clients that come again.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection that served one request gets so long for the next while many are open: clients have a limit on their
/// connections, and those that served once and stay keep them from opening others for new events.
const SECOND_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection's first request comes right behind it, but may come after the next connection.
pub(super) const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);

/// What a connection waits for, in the order in which connections make room.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WaitReason {
    /// The peer's close, behind the last response.
    Close,
    /// Room for a response that the peer does not read.
    Write,
    /// A turn for a request that came before the last response.
    Pipelined,
    /// The first request.
    FirstRequest,
    /// The second request.
    SecondRequest,
    /// A further request.
    NextRequest,
    /// The rest of a request.
    RestOfRequest,
}

/// Why a wait ended without what was waited for.
pub(super) enum WaitEnded {
    TimedOut,
    /// Another connection needed the place.
    MadeRoom,
}

/// Order in which waiting connections make room: by reason, then by the number of the wait.
type WaitKey = (WaitReason, u64);

struct Waiting {
    since: Instant,
    /// Dropped to end the wait.
    _keeps_waiting: Sender<()>,
}

/// All connections of clients.
pub(super) struct ConnectionTable {
    open: Rc<Cell<usize>>,
    /// With more open than that, others make room for each new connection.
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

    /// Whether one more connection finds room. As many as are open beyond the limit stop waiting, those first that wait
    /// for the least; some of them may go on with what just arrived.
    pub(super) fn make_room(&self) -> bool {
        let excess = (self.open.get() + 1).saturating_sub(self.soft_limit.get());
        let mut ended = 0;
        for _ in 0..excess {
            if self.end_first_wait() {
                ended += 1;
            }
        }
        excess == 0 || ended > 0
    }

    /// Ends the wait that is first to make room. A connection that only just came, its request behind it, is spared
    /// while there are others. False if none waits.
    fn end_first_wait(&self) -> bool {
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

    /// The connection that has been half-way through a request for longest gives its buffer back; false if none has
    /// been for as long as an honest client takes.
    pub(super) fn free_buffer(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let oldest = waiting.range((WaitReason::RestOfRequest, 0)..).next();
        let key = match oldest {
            Some((key, wait)) if wait.since.elapsed() > FIRST_REQUEST_GRACE => *key,
            _ => return false,
        };
        waiting.remove(&key).is_some()
    }

    /// How long a connection that served one request may stay without another. Many: over a quarter of the limit.
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
    /// Why the wait ended first.
    pub(super) async fn wait<T>(
        &self,
        reason: WaitReason,
        deadline: Instant,
        future: impl Future<Output = T>,
    ) -> Result<T, WaitEnded> {
        let (keeps_waiting, made_room) = async_channel::bounded(1);
        let _registered = self.register(reason, keeps_waiting);
        let made_room = async {
            let _ = made_room.recv().await;
            Err(WaitEnded::MadeRoom)
        };
        let completed = async { Ok(future.await) };
        let first = match reason {
            // The connection would go on, and be in nobody's way for a moment only.
            WaitReason::Write | WaitReason::Pipelined => {
                until(deadline, future::or(made_room, completed)).await
            }
            // What has just arrived still counts.
            _ => until(deadline, future::or(completed, made_room)).await,
        };
        first.unwrap_or(Err(WaitEnded::TimedOut))
    }

    fn register(&self, reason: WaitReason, keeps_waiting: Sender<()>) -> Registration<'_> {
        let number = self.waits_begun.get() + 1;
        self.waits_begun.set(number);
        let key = (reason, number);
        let wait = Waiting {
            since: Instant::now(),
            _keeps_waiting: keeps_waiting,
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
