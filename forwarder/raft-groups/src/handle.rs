//! The event loop's interface to the groups: submits requests, receives events, and checks leases and capacity.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, Thread};

use rtrb::{Consumer, Producer, PushError};

use crate::leases::Leases;
use crate::watchdog::Watchdog;
use crate::{GroupEvent, GroupId, GroupRequest, Incarnation};

/// The maximum length of a command, in bytes.
pub const MAX_COMMAND_LEN: usize = 8 << 20;
/// The maximum length of a report, in bytes.
pub const MAX_REPORT_LEN: usize = 64 << 10;

/// The state shared by the groups thread and the event loop.
#[derive(Clone)]
pub(crate) struct SharedStatus {
    /// Stops all threads.
    pub(crate) stop: Arc<AtomicBool>,
    /// The total number of command bytes since the start up to which the replicas of the groups led here have capacity.
    pub(crate) command_bytes_limit: Arc<AtomicU64>,
    /// The reason why this instance must stop.
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

/// The event loop's handle to the groups of its instance. Dropping it stops their threads; data that is already synced
/// remains.
pub struct RaftGroups {
    pub(crate) requests: Producer<GroupRequest>,
    pub(crate) groups_thread: Thread,
    pub(crate) leases: Arc<Leases>,
    pub(crate) status: SharedStatus,
    pub(crate) threads: Vec<JoinHandle<()>>,
    pub(crate) watchdog: Option<Watchdog>,
    pub(crate) incarnation: Incarnation,
    /// The total number of command bytes submitted since the start.
    pub(crate) command_bytes: u64,
}

impl RaftGroups {
    /// Submits a request to the groups thread. Never blocks.
    ///
    /// # Errors
    /// Returns the request if the ring is full or its body is too long; the request then never takes effect.
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

    /// Whether this instance leads the group and a majority confirmed recently enough that it elects no other leader
    /// before the watchdog would have killed this process after a stall.
    pub fn holds_lease(&self, group: GroupId) -> bool {
        self.leases.is_held(group)
    }

    /// Whether enough replicas have capacity for more than what is already proposed. If not, operations that make an
    /// event log longer must be rejected now, to leave capacity for the records and outcomes of pending events.
    pub fn has_capacity(&self) -> bool {
        self.command_bytes < self.status.command_bytes_limit.load(Ordering::Acquire)
    }

    /// Resets the watchdog. After the first call, the event loop must call this function several times within
    /// [`RaftGroups::watchdog_timeout`]: if leases are used, the kernel kills a process that makes no call for that
    /// long.
    pub fn feed_watchdog(&self) {
        if let Some(watchdog) = &self.watchdog {
            watchdog.feed();
        }
    }

    /// The period within which [`RaftGroups::feed_watchdog`] must be called, in milliseconds; `None` if there is no
    /// watchdog.
    pub fn watchdog_timeout(&self) -> Option<f64> {
        self.watchdog.as_ref().map(Watchdog::timeout)
    }

    /// The reason why this instance must stop, once its threads have ended because of it: its folder lacks votes or
    /// entries that it acknowledged. The process must exit; other instances take over its pending events.
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
        // The watchdog is disarmed first, since the threads take a moment to end.
        self.watchdog = None;
        self.status.stop.store(true, Ordering::Release);
        self.groups_thread.unpark();
        for thread in self.threads.drain(..) {
            // A thread that panicked has already printed the panic.
            let _ = thread.join();
        }
    }
}

/// The stream of the groups' events, in order.
pub struct GroupEventStream {
    pub(crate) events: Consumer<GroupEvent>,
    pub(crate) wake_ups: async_channel::Receiver<()>,
    pub(crate) groups_thread: Thread,
}

impl GroupEventStream {
    /// Returns the next event if one is available.
    pub fn try_next(&mut self) -> Option<GroupEvent> {
        let event = self.events.pop().ok();
        if event.is_some() {
            // The groups thread may be blocked by a full ring.
            self.groups_thread.unpark();
        }
        event
    }

    /// Waits for the next event. Returns `None` once the groups thread has ended.
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
