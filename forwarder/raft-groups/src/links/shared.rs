//! What the tasks of the links' thread share, and what it and the groups' thread say to each other.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use plankhill_forwarder_config::fleet::FleetConfig;
use slog::{warn, Logger};

use crate::ring::Sender;
use crate::wire::said::{Answer, Hello, Said};

/// The place of an instance in the fleet file.
pub type Peer = usize;

/// To the links.
pub enum ToLinks {
    /// What this instance says first. Calls begin with it.
    Hello(Hello),
    /// A whole frame.
    Say { to: Peer, frame: Vec<u8> },
    /// Whether one who called is heard.
    Answer { call: u64, answer: Answer },
    /// One that was called is not who it should be.
    HangUp { peer: Peer },
}

/// From the links.
#[derive(Debug)]
pub enum FromLinks {
    /// Calls and waits for an answer.
    Called { call: u64, peer: Peer, hello: Hello },
    /// Has answered this instance's call.
    Answered { peer: Peer, answer: Answer },
    /// A whole frame from one who was welcomed.
    Said { call: u64, said: Box<Said> },
    /// The link to it broke.
    Lost { peer: Peer },
    /// One that called has gone.
    Ended { call: u64 },
}

/// Frames that wait for a link, and their bytes: beyond them a frame is lost, as on the way.
const FRAMES: usize = 4096;
const BYTES: usize = 24 << 20;
/// Calls taken at once for each instance of the fleet, and besides.
pub(super) const CALLS_EACH: usize = 4;
pub(super) const CALLS_BESIDE: usize = 16;

/// Shared by the thread's tasks.
pub(super) struct Shared {
    pub fleet: FleetConfig,
    pub me: Peer,
    pub log: Logger,
    pub said_at: Cell<Option<Instant>>,
    pub outbox: RefCell<Sender<FromLinks>>,
    pub hello: RefCell<Option<Hello>>,
    pub answers: RefCell<HashMap<u64, async_channel::Sender<Answer>>>,
    pub lines: Vec<Option<Line>>,
    pub calls: Cell<u64>,
    pub open_calls: Cell<usize>,
}

/// What waits for one instance.
pub(super) struct Line {
    pub frames: async_channel::Sender<Vec<u8>>,
    pub waiting: async_channel::Receiver<Vec<u8>>,
    pub bytes: Cell<usize>,
    pub hang_up: Cell<bool>,
}

impl Shared {
    pub fn new(fleet: FleetConfig, me: Peer, log: Logger, outbox: Sender<FromLinks>) -> Self {
        let line = |at: Peer| {
            let (frames, waiting) = async_channel::bounded(FRAMES);
            (at != me).then(|| Line {
                frames,
                waiting,
                bytes: Cell::new(0),
                hang_up: Cell::new(false),
            })
        };
        Shared {
            lines: (0..fleet.instances.len()).map(line).collect(),
            fleet,
            me,
            log,
            said_at: Cell::new(None),
            outbox: RefCell::new(outbox),
            hello: RefCell::new(None),
            answers: RefCell::default(),
            calls: Cell::new(0),
            open_calls: Cell::new(0),
        }
    }

    /// One line a second, whatever is thrown at it.
    pub fn complain(&self, what: &str, who: &str) {
        let now = Instant::now();
        if self
            .said_at
            .get()
            .is_none_or(|at| now - at >= Duration::from_secs(1))
        {
            self.said_at.set(Some(now));
            warn!(self.log, "fleet link closed"; "because" => what, "with" => who);
        }
    }

    pub fn tell(&self, news: FromLinks) {
        let mut outbox = self.outbox.borrow_mut();
        outbox.send(news);
        outbox.flush();
    }

    pub fn heartbeat(&self) -> Duration {
        Duration::from_secs_f64(self.fleet.timing.heartbeat / 1e3)
    }

    pub fn election(&self) -> Duration {
        Duration::from_secs_f64(self.fleet.timing.election / 1e3)
    }

    pub fn say(&self, to: Peer, frame: Vec<u8>) {
        let Some(line) = self.lines.get(to).and_then(Option::as_ref) else {
            return;
        };
        let bytes = line.bytes.get() + frame.len();
        if bytes <= BYTES && line.frames.try_send(frame).is_ok() {
            line.bytes.set(bytes);
        }
    }
}
