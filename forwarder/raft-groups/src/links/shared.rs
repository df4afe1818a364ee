//! The state shared by the tasks of the links thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use plankhill_forwarder_config::fleet::FleetConfig;
use slog::{warn, Logger};

use super::channels::{FromLinks, PeerIndex};
use crate::ring::RingSender;
use crate::wire::message::{Hello, HelloReply};

/// The maximum number of frames queued for a link; further frames are dropped, like frames lost in transit.
const MAX_QUEUED_FRAMES: usize = 4096;
/// The maximum number of bytes queued for a link.
const MAX_QUEUED_BYTES: usize = 24 << 20;
/// The minimum interval between two log lines about closed links.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

pub(super) struct Shared {
    pub(super) fleet: FleetConfig,
    pub(super) me: PeerIndex,
    pub(super) logger: Logger,
    pub(super) outbox: RefCell<RingSender<FromLinks>>,
    /// The hello that this instance sends first on each link.
    pub(super) hello: RefCell<Option<Hello>>,
    /// The incoming connections that await the reply to their hello.
    pub(super) awaiting_reply: RefCell<HashMap<u64, async_channel::Sender<HelloReply>>>,
    /// The send queues by peer; `None` for this instance itself.
    pub(super) send_queues: Vec<Option<SendQueue>>,
    logged_at: Cell<Option<Instant>>,
}

/// The frames queued for one peer.
pub(super) struct SendQueue {
    sender: async_channel::Sender<Vec<u8>>,
    receiver: async_channel::Receiver<Vec<u8>>,
    queued_bytes: Cell<usize>,
    pub(super) is_close_requested: Cell<bool>,
}

impl SendQueue {
    fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(MAX_QUEUED_FRAMES);
        SendQueue {
            sender,
            receiver,
            queued_bytes: Cell::new(0),
            is_close_requested: Cell::new(false),
        }
    }

    /// Queues a frame, or drops it if the queue is full.
    fn push(&self, frame: Vec<u8>) {
        let bytes = self.queued_bytes.get() + frame.len();
        if bytes <= MAX_QUEUED_BYTES && self.sender.try_send(frame).is_ok() {
            self.queued_bytes.set(bytes);
        }
    }

    /// Waits for the next frame. Returns `None` once the thread ends.
    pub(super) async fn next(&self) -> Option<Vec<u8>> {
        let frame = self.receiver.recv().await.ok()?;
        self.on_dequeued(&frame);
        Some(frame)
    }

    /// Returns the next frame if one is queued.
    pub(super) fn try_next(&self) -> Option<Vec<u8>> {
        let frame = self.receiver.try_recv().ok()?;
        self.on_dequeued(&frame);
        Some(frame)
    }

    fn on_dequeued(&self, frame: &[u8]) {
        self.queued_bytes
            .set(self.queued_bytes.get().saturating_sub(frame.len()));
    }
}

impl Shared {
    pub(super) fn new(
        fleet: FleetConfig,
        me: PeerIndex,
        logger: Logger,
        outbox: RingSender<FromLinks>,
    ) -> Self {
        let peers = 0..fleet.instances.len();
        let send_queues = peers.map(|peer| {
            if peer == me {
                None
            } else {
                Some(SendQueue::new())
            }
        });
        Shared {
            send_queues: send_queues.collect(),
            fleet,
            me,
            logger,
            outbox: RefCell::new(outbox),
            hello: RefCell::new(None),
            awaiting_reply: RefCell::default(),
            logged_at: Cell::new(None),
        }
    }

    /// Logs why a link was closed, at most one line per second.
    pub(super) fn log_closed(&self, error: &dyn std::fmt::Display, peer: &str) {
        let now = Instant::now();
        if self
            .logged_at
            .get()
            .is_none_or(|at| now - at >= LOG_INTERVAL)
        {
            self.logged_at.set(Some(now));
            warn!(self.logger, "peer link closed"; "error" => %error, "peer" => peer);
        }
    }

    /// Sends an event to the groups thread.
    pub(super) fn notify(&self, event: FromLinks) {
        let mut outbox = self.outbox.borrow_mut();
        outbox.send(event);
        outbox.flush();
    }

    /// Sends a frame to a peer; the frame may be lost.
    pub(super) fn send(&self, to: PeerIndex, frame: Vec<u8>) {
        if let Some(queue) = self.send_queues.get(to).and_then(Option::as_ref) {
            queue.push(frame);
        }
    }

    pub(super) fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.fleet.timing.heartbeat / 1e3)
    }

    pub(super) fn election_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.fleet.timing.election / 1e3)
    }
}
