//! Bounded rings between threads: the sender never blocks, and the receiver is woken up.

use std::collections::VecDeque;
use std::thread::Thread;

use rtrb::{Producer, PushError};

/// How the receiver of a ring is woken up.
pub enum Waker {
    /// A thread that parks.
    Thread(Thread),
    /// A task that awaits a channel of capacity 1.
    Task(async_channel::Sender<()>),
}

impl Waker {
    fn wake(&self) {
        match self {
            Waker::Thread(thread) => thread.unpark(),
            Waker::Task(wake_up) => {
                // A full channel already holds a pending wake-up, which is enough.
                let _ = wake_up.try_send(());
            }
        }
    }
}

/// The sending end of a ring. Values that do not fit into the ring queue up here in order. While
/// [`RingSender::is_backlogged`], the sender must accept no further input, which bounds the backlog by the output of
/// one iteration of its loop.
pub struct RingSender<T> {
    ring: Producer<T>,
    backlog: VecDeque<T>,
    waker: Waker,
}

/// The backlog length from which [`RingSender::send_or_drop`] drops values.
const MAX_BACKLOG_LEN: usize = 4096;

impl<T> RingSender<T> {
    /// Returns the sender of an empty ring.
    pub fn new(ring: Producer<T>, waker: Waker) -> Self {
        RingSender {
            ring,
            backlog: VecDeque::new(),
            waker,
        }
    }

    /// Queues a value for the next [`RingSender::flush`].
    pub fn send(&mut self, value: T) {
        self.backlog.push_back(value);
    }

    /// Queues a value that may be lost: the value is dropped if the backlog is long.
    pub fn send_or_drop(&mut self, value: T) {
        if self.backlog.len() < MAX_BACKLOG_LEN {
            self.backlog.push_back(value);
        }
    }

    /// Pushes a value into the ring immediately.
    ///
    /// # Errors
    /// Returns the value if the ring is full or has a backlog.
    pub fn try_send(&mut self, value: T) -> Result<(), T> {
        if !self.backlog.is_empty() {
            return Err(value);
        }
        let pushed = self.ring.push(value);
        self.waker.wake();
        pushed.map_err(|PushError::Full(value)| value)
    }

    /// Moves the backlog into the ring, as far as it fits.
    pub fn flush(&mut self) {
        if self.backlog.is_empty() {
            return;
        }
        while let Some(value) = self.backlog.pop_front() {
            if let Err(PushError::Full(value)) = self.ring.push(value) {
                self.backlog.push_front(value);
                break;
            }
        }
        self.waker.wake();
    }

    /// Wakes up the receiver.
    pub fn wake(&self) {
        self.waker.wake();
    }

    /// Whether values are waiting for space in the ring.
    pub fn is_backlogged(&self) -> bool {
        !self.backlog.is_empty()
    }

    /// Whether the receiver has ended.
    pub fn is_abandoned(&self) -> bool {
        self.ring.is_abandoned()
    }
}
