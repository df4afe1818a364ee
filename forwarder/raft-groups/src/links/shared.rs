//! What the tasks of the links' thread share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use plankhill_forwarder_config::fleet::FleetConfig;
use slog::{warn, Logger};

use super::channels::{FromLinks, PeerIndex};
use crate::ring::RingSender;
use crate::wire::message::{Hello, HelloReply};

/// Frames that may wait for a link: beyond them a frame is lost, as on the way.
const MAX_WAITING_FRAMES: usize = 4096;
/// Bytes of frames that may wait for a link.
const MAX_WAITING_BYTES: usize = 24 << 20;
/// At most one line about closed links is logged within it.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

pub(super) struct Shared {
    pub(super) fleet: FleetConfig,
    pub(super) me: PeerIndex,
    pub(super) logger: Logger,
    pub(super) outbox: RefCell<RingSender<FromLinks>>,
    /// What this instance sends first.
    pub(super) hello: RefCell<Option<Hello>>,
    /// Callers that wait for the reply to their hello, by connection.
    pub(super) awaiting_reply: RefCell<HashMap<u64, async_channel::Sender<HelloReply>>>,
    /// By peer; none for this instance itself.
    pub(super) lines: Vec<Option<Line>>,
    logged_at: Cell<Option<Instant>>,
}

/// What waits to be sent to one instance.
pub(super) struct Line {
    frames: async_channel::Sender<Vec<u8>>,
    waiting: async_channel::Receiver<Vec<u8>>,
    waiting_bytes: Cell<usize>,
    pub(super) is_hanging_up: Cell<bool>,
}

impl Line {
    fn new() -> Self {
        let (frames, waiting) = async_channel::bounded(MAX_WAITING_FRAMES);
        Line {
            frames,
            waiting,
            waiting_bytes: Cell::new(0),
            is_hanging_up: Cell::new(false),
        }
    }

    /// Queues a frame. It is dropped where too much waits.
    fn push(&self, frame: Vec<u8>) {
        let bytes = self.waiting_bytes.get() + frame.len();
        if bytes <= MAX_WAITING_BYTES && self.frames.try_send(frame).is_ok() {
            self.waiting_bytes.set(bytes);
        }
    }

    /// Waits for the next frame. `None` once the thread ends.
    pub(super) async fn next(&self) -> Option<Vec<u8>> {
        let frame = self.waiting.recv().await.ok()?;
        self.taken(&frame);
        Some(frame)
    }

    /// The next frame, if one waits.
    pub(super) fn try_next(&self) -> Option<Vec<u8>> {
        let frame = self.waiting.try_recv().ok()?;
        self.taken(&frame);
        Some(frame)
    }

    fn taken(&self, frame: &[u8]) {
        self.waiting_bytes
            .set(self.waiting_bytes.get().saturating_sub(frame.len()));
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
        let lines = peers.map(|peer| if peer == me { None } else { Some(Line::new()) });
        Shared {
            lines: lines.collect(),
            fleet,
            me,
            logger,
            outbox: RefCell::new(outbox),
            hello: RefCell::new(None),
            awaiting_reply: RefCell::default(),
            logged_at: Cell::new(None),
        }
    }

    /// Logs why a link was closed: one line a second, whatever arrives.
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

    /// Sends to the groups' thread.
    pub(super) fn notify(&self, event: FromLinks) {
        let mut outbox = self.outbox.borrow_mut();
        outbox.send(event);
        outbox.flush();
    }

    /// Sends a frame to a peer; it may be lost, as on the way.
    pub(super) fn send(&self, to: PeerIndex, frame: Vec<u8>) {
        if let Some(line) = self.lines.get(to).and_then(Option::as_ref) {
            line.push(frame);
        }
    }

    pub(super) fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.fleet.timing.heartbeat / 1e3)
    }

    pub(super) fn election_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.fleet.timing.election / 1e3)
    }
}
