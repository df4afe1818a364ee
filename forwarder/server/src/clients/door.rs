//! All connections of clients, and which of them make room for others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use futures_lite::future;

use crate::exchange::until;

/// A connection that asked before and asks for nothing for so long makes room for others: some clients never
/// close theirs, and have so many at most. Sooner would cross the requests of those that come again.
pub(super) const IDLE: Duration = Duration::from_secs(2);
/// One that asked once has so long for its next request while many are open: clients hold so many at most, and
/// those that asked once and stay keep them from opening others for what they have to hand in.
const ONCE: Duration = Duration::from_millis(300);
/// A connection's first request comes right behind it, but may come after the next connection.
pub(super) const JUST_CAME: Duration = Duration::from_millis(250);

/// What a connection waits for, in the order in which they make room.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Waits {
    /// It has its last answer, and has not closed yet.
    Lingers,
    /// It does not read its answers.
    Writes,
    /// It asks again before it has its answer.
    Pipelines,
    /// It never asked for anything.
    Silent,
    /// It asked once and stayed.
    Once,
    /// It asks again and again.
    Idle,
    /// Half a request has come.
    Reads,
}

/// Why nothing came.
pub(super) enum Left {
    TimeIsUp,
    MadeRoom,
}

/// Since when, and what ends it.
type Waiting = (Instant, Sender<()>);

/// All connections of clients, and those that wait for something from theirs.
#[derive(Default)]
pub(super) struct Door {
    pub(super) open: Rc<Cell<usize>>,
    /// With as many open, others make room for each that comes.
    pub(super) most: Cell<usize>,
    pub(super) entered: Cell<u64>,
    pub(super) waiting: RefCell<BTreeMap<(Waits, u64), Waiting>>,
    pub(super) unsaid: Cell<usize>,
    pub(super) said: Cell<Option<Instant>>,
}

impl Door {
    /// Whether one more finds room. Those that have waited for the least, longest, stop waiting for it: as
    /// many as are open too many, for some of them go on with what just came.
    pub(super) fn has_room(&self) -> bool {
        let too_many = (self.open.get() + 1).saturating_sub(self.most.get());
        too_many == 0 || (0..too_many).filter(|_| self.make_room()).count() > 0
    }

    /// One that only just came, its request behind it, is spared while there are others.
    pub(super) fn make_room(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let goes =
            |(what, since): (Waits, Instant)| what != Waits::Silent || since.elapsed() > JUST_CAME;
        let first = waiting
            .iter()
            .find(|((what, _), how)| goes((*what, how.0)))
            .or(waiting.iter().next());
        let place = first.map(|(place, _)| *place);
        place.is_some_and(|place| waiting.remove(&place).is_some())
    }

    /// The one that has been half-way through a request for longest gives its buffer back; false if none has been
    /// for as long as an honest one takes.
    pub(super) fn frees_buffer(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let mut reads = waiting.range((Waits::Reads, 0)..);
        let first = reads
            .next()
            .filter(|(_, (since, _))| since.elapsed() > JUST_CAME)
            .map(|(place, _)| *place);
        first.is_some_and(|place| waiting.remove(&place).is_some())
    }

    /// How long one that asked once may stay without a request. Many: over a quarter of all that may be open.
    pub(super) fn once(&self) -> Duration {
        if 4 * self.open.get() > self.most.get() {
            ONCE
        } else {
            IDLE
        }
    }

    pub(super) fn number(&self) -> u64 {
        self.entered.set(self.entered.get() + 1);
        self.entered.get()
    }

    pub(super) async fn waits<T>(
        &self,
        what: Waits,
        by: Instant,
        for_it: impl Future<Output = T>,
    ) -> Result<T, Left> {
        let (stays, leaves) = async_channel::bounded(1);
        let place = Place(self, (what, self.number()));
        self.waiting
            .borrow_mut()
            .insert(place.1, (Instant::now(), stays));
        let leaves = async {
            let _ = leaves.recv().await;
            Err(Left::MadeRoom)
        };
        let came = async { Ok(for_it.await) };
        let first = match what {
            // It would go on, and be in nobody's way for a moment only.
            Waits::Writes | Waits::Pipelines => until(by, future::or(leaves, came)).await,
            // What has just come still counts.
            _ => until(by, future::or(came, leaves)).await,
        };
        first.unwrap_or(Err(Left::TimeIsUp))
    }
}

/// A place among those that wait, until it is dropped.
struct Place<'a>(&'a Door, (Waits, u64));

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.waiting.borrow_mut().remove(&self.1);
    }
}
