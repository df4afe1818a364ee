//! The loop's side of a fleet: orders in, news out, and whether it may act on what it owns.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::{JoinHandle, Thread};
use std::time::Instant;

use rtrb::{Consumer, Producer};

use crate::watchdog::Watchdog;
use crate::{GroupEvent, GroupId, GroupRequest, Incarnation};

/// The longest command and report, in bytes.
pub const LONGEST_COMMAND: usize = 8 << 20;
pub const LONGEST_REPORT: usize = 64 << 10;

/// Until when each group is held, in microseconds since `begun` on this process's monotonic clock.
pub struct Leases {
    begun: Instant,
    until: RwLock<HashMap<GroupId, Arc<AtomicU64>>>,
}

impl Leases {
    pub(crate) fn new(begun: Instant) -> Self {
        Leases {
            begun,
            until: RwLock::default(),
        }
    }

    /// Milliseconds since the start.
    pub(crate) fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1e3
    }

    pub(crate) fn of(&self, group: GroupId) -> Arc<AtomicU64> {
        let mut all = self.until.write().unwrap_or_else(|e| e.into_inner());
        all.entry(group).or_default().clone()
    }

    pub(crate) fn forget(&self, group: GroupId) {
        self.until
            .write()
            .unwrap_or_else(|e| e.into_inner())
            .remove(&group);
    }

    fn holds(&self, group: GroupId) -> bool {
        let all = self.until.read().unwrap_or_else(|e| e.into_inner());
        let until = all
            .get(&group)
            .map_or(0, |until| until.load(Ordering::Acquire));
        ((self.begun.elapsed().as_micros()) as u64) < until
    }
}

/// The loop's hold on the fleet. Dropped, its threads end; what they were handed and synced stays.
pub struct RaftGroups {
    pub(crate) orders: Producer<GroupRequest>,
    pub(crate) groups: Thread,
    pub(crate) leases: Arc<Leases>,
    pub(crate) stop: Arc<AtomicBool>,
    pub(crate) threads: Vec<JoinHandle<()>>,
    pub(crate) deadman: Option<Watchdog>,
    pub(crate) incarnation: Incarnation,
    /// Bytes of commands handed over, and those up to which keepers have room.
    pub(crate) proposed: u64,
    pub(crate) room: Arc<AtomicU64>,
    pub(crate) refused: Arc<Mutex<Option<String>>>,
}

impl RaftGroups {
    /// Hands an order to the groups' thread. It comes back when the ring is full or its body too long, and
    /// then surely never counts. Never waits.
    pub fn try_request(&mut self, order: GroupRequest) -> Result<(), GroupRequest> {
        let mut bytes = 0;
        let too_long = match &order {
            GroupRequest::Propose { command, .. } => {
                bytes = command.len() as u64;
                command.len() > LONGEST_COMMAND
            }
            GroupRequest::Report { body } => body.len() > LONGEST_REPORT,
            GroupRequest::Create { .. } | GroupRequest::Dissolve { .. } => false,
        };
        if too_long {
            return Err(order);
        }
        let pushed = self.orders.push(order);
        self.proposed += if pushed.is_ok() { bytes } else { 0 };
        self.groups.unpark();
        pushed.map_err(|rtrb::PushError::Full(order)| order)
    }

    /// True only while this instance leads the group and a majority promised, recently enough, to elect no
    /// other before a stall of this process would have ended it.
    pub fn holds_lease(&self, group: GroupId) -> bool {
        self.leases.holds(group)
    }

    /// False while too few keepers have room for what was proposed already and more: what would grow a record
    /// has to be refused now, so that marks and ends of what is held still find room.
    pub fn has_capacity(&self) -> bool {
        self.proposed < self.room.load(Ordering::Acquire)
    }

    /// Says that the loop lives. From the first time on, to be said several times within `stall_ms`: where copies
    /// are on, the kernel ends a process that did not say it for so long.
    pub fn feed_watchdog(&self) {
        if let Some(deadman) = &self.deadman {
            deadman.feed();
        }
    }

    /// The span within which [`Handle::alive`] has to be said, in milliseconds, if any.
    pub fn watchdog_timeout(&self) -> Option<f64> {
        self.deadman.as_ref().map(Watchdog::span)
    }

    /// Why this instance may not go on, once its threads have ended over it: its folder lacks what was promised
    /// from it. The process has to end; what it holds others own.
    pub fn fatal_error(&self) -> Option<String> {
        self.refused
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

impl Drop for RaftGroups {
    fn drop(&mut self) {
        self.deadman = None;
        self.stop.store(true, Ordering::Release);
        self.groups.unpark();
        for thread in self.threads.drain(..) {
            // A thread that panicked has said so.
            let _ = thread.join();
        }
    }
}

/// The news in their order.
pub struct GroupEventStream {
    pub(crate) news: Consumer<GroupEvent>,
    pub(crate) bell: async_channel::Receiver<()>,
    pub(crate) groups: Thread,
}

impl GroupEventStream {
    pub fn try_next(&mut self) -> Option<GroupEvent> {
        let news = self.news.pop().ok();
        if news.is_some() {
            // A full ring may have held the next back.
            self.groups.unpark();
        }
        news
    }

    /// Waits for the next. None once the fleet's threads have ended.
    pub async fn next(&mut self) -> Option<GroupEvent> {
        loop {
            if let Some(news) = self.try_next() {
                return Some(news);
            }
            if self.bell.recv().await.is_err() {
                return self.try_next();
            }
        }
    }
}
