//! The event loop's side of the groups: requests in, events out, and whether it may act on what it owns.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, Thread};

use rtrb::{Consumer, Producer, PushError};

use crate::leases::Leases;
use crate::watchdog::Watchdog;
use crate::{GroupEvent, GroupId, GroupRequest, Incarnation};

/// The longest command, in bytes.
pub const MAX_COMMAND_LEN: usize = 8 << 20;
/// The longest report, in bytes.
pub const MAX_REPORT_LEN: usize = 64 << 10;

/// What the groups' thread and the event loop both see.
#[derive(Clone)]
pub(crate) struct SharedStatus {
    /// Ends all threads.
    pub(crate) stop: Arc<AtomicBool>,
    /// Up to how many bytes of commands, counted from the start, the replicas of the groups led here have capacity.
    pub(crate) command_bytes_limit: Arc<AtomicU64>,
    /// Why this instance may not go on.
    pub(crate) fatal_error: Arc<Mutex<Option<String>>>,
}

impl SharedStatus {
    pub(crate) fn new() -> Self {
        SharedStatus {
            stop: Arc::new(AtomicBool::new(false)),
            command_bytes_limit: Arc::new(AtomicU64::new(u64::MAX)),
            fatal_error: Arc::new(Mutex::new(None)),
        }
    }
}

/// The event loop's handle of its instance's groups. Dropping it ends their threads; what they were handed and synced
/// stays.
pub struct RaftGroups {
    pub(crate) requests: Producer<GroupRequest>,
    pub(crate) groups_thread: Thread,
    pub(crate) leases: Arc<Leases>,
    pub(crate) status: SharedStatus,
    pub(crate) threads: Vec<JoinHandle<()>>,
    pub(crate) watchdog: Option<Watchdog>,
    pub(crate) incarnation: Incarnation,
    /// Bytes of commands handed over, counted from the start.
    pub(crate) command_bytes: u64,
}

impl RaftGroups {
    /// Hands a request to the groups' thread. Never waits.
    ///
    /// # Errors
    /// The request comes back where the ring is full or its body too long; it surely never takes effect then.
    pub fn try_request(&mut self, request: GroupRequest) -> Result<(), GroupRequest> {
        let command_bytes = match &request {
            GroupRequest::Propose { command, .. } if command.len() > MAX_COMMAND_LEN => {
                return Err(request)
            }
            GroupRequest::Report { body } if body.len() > MAX_REPORT_LEN => return Err(request),
            GroupRequest::Propose { command, .. } => command.len() as u64,
            GroupRequest::Report { .. }
            | GroupRequest::Create { .. }
            | GroupRequest::Dissolve { .. } => 0,
        };
        let pushed = self.requests.push(request);
        self.groups_thread.unpark();
        match pushed {
            Ok(()) => {
                self.command_bytes += command_bytes;
                Ok(())
            }
            Err(PushError::Full(request)) => Err(request),
        }
    }

    /// True only while this instance leads the group and a majority promised, recently enough, to elect no other
    /// before a stall of this process would have ended it.
    pub fn holds_lease(&self, group: GroupId) -> bool {
        self.leases.is_held(group)
    }

    /// False while too few replicas have capacity for what was proposed already and more: what would make an event
    /// log longer has to be rejected now, so that records and outcomes of what is pending still find capacity.
    pub fn has_capacity(&self) -> bool {
        self.command_bytes < self.status.command_bytes_limit.load(Ordering::Acquire)
    }

    /// Tells the watchdog that the event loop lives. From the first call on, it has to be called several times within
    /// [`RaftGroups::watchdog_timeout`]: where leases are used, the kernel ends a process that did not call it for so
    /// long.
    pub fn feed_watchdog(&self) {
        if let Some(watchdog) = &self.watchdog {
            watchdog.feed();
        }
    }

    /// The time within which [`RaftGroups::feed_watchdog`] has to be called, in milliseconds; `None`: there is no
    /// watchdog.
    pub fn watchdog_timeout(&self) -> Option<f64> {
        self.watchdog.as_ref().map(Watchdog::timeout)
    }

    /// Why this instance may not go on, once its threads have ended over it: its folder lacks what was promised from
    /// it. The process has to end; other instances own what is pending here.
    pub fn fatal_error(&self) -> Option<String> {
        self.status
            .fatal_error
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// This instance's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

impl Drop for RaftGroups {
    fn drop(&mut self) {
        // First, since the threads take a moment to end.
        self.watchdog = None;
        self.status.stop.store(true, Ordering::Release);
        self.groups_thread.unpark();
        for thread in self.threads.drain(..) {
            // A thread that panicked has printed so.
            let _ = thread.join();
        }
    }
}

/// The groups' events in their order.
pub struct GroupEventStream {
    pub(crate) events: Consumer<GroupEvent>,
    pub(crate) wake_ups: async_channel::Receiver<()>,
    pub(crate) groups_thread: Thread,
}

impl GroupEventStream {
    /// The next event, if there is one now.
    pub fn try_next(&mut self) -> Option<GroupEvent> {
        let event = self.events.pop().ok();
        if event.is_some() {
            // A full ring may have held the next back.
            self.groups_thread.unpark();
        }
        event
    }

    /// Waits for the next event. `None` once the groups' threads have ended.
    pub async fn next(&mut self) -> Option<GroupEvent> {
        loop {
            if let Some(event) = self.try_next() {
                return Some(event);
            }
            if self.wake_ups.recv().await.is_err() {
                return self.try_next();
            }
        }
    }
}
