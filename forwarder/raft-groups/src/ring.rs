//! Bounded rings between threads: the sender never waits, and the receiver is woken.

use std::collections::VecDeque;
use std::thread::Thread;

use rtrb::{Producer, PushError};

/// How a ring's receiver is woken.
pub enum Waker {
    /// A thread that parks.
    Thread(Thread),
    /// A task that awaits a channel of one place.
    Task(async_channel::Sender<()>),
}

impl Waker {
    fn wake(&self) {
        match self {
            Waker::Thread(thread) => thread.unpark(),
            Waker::Task(wake_up) => {
                // A wake-up that was not received yet is enough.
                let _ = wake_up.try_send(());
            }
        }
    }
}

/// The sending end of a ring. What does not fit waits here in its order. The sender has to look at
/// [`RingSender::is_clogged`] and take nothing more in until that is over, so that what waits is bounded by what one
/// iteration of its loop makes.
pub struct RingSender<T> {
    ring: Producer<T>,
    waiting: VecDeque<T>,
    waker: Waker,
}

/// How many values may wait before [`RingSender::send_or_drop`] drops.
const MAX_WAITING: usize = 4096;

impl<T> RingSender<T> {
    /// The sender of an empty ring.
    pub fn new(ring: Producer<T>, waker: Waker) -> Self {
        RingSender {
            ring,
            waiting: VecDeque::new(),
            waker,
        }
    }

    /// Sends with the next [`RingSender::flush`].
    pub fn send(&mut self, value: T) {
        self.waiting.push_back(value);
    }

    /// Sends what may be lost: the value is dropped while much waits before it.
    pub fn send_or_drop(&mut self, value: T) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(value);
        }
    }

    /// Sends the value at once.
    ///
    /// # Errors
    /// The value comes back where there is no place for it.
    pub fn try_send(&mut self, value: T) -> Result<(), T> {
        if !self.waiting.is_empty() {
            return Err(value);
        }
        let pushed = self.ring.push(value);
        self.waker.wake();
        pushed.map_err(|PushError::Full(value)| value)
    }

    /// Moves what waits into the ring, as far as there is place.
    pub fn flush(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        while let Some(value) = self.waiting.pop_front() {
            if let Err(PushError::Full(value)) = self.ring.push(value) {
                self.waiting.push_front(value);
                break;
            }
        }
        self.waker.wake();
    }

    /// Wakes the receiver.
    pub fn wake(&self) {
        self.waker.wake();
    }

    /// Whether anything waits for a place in the ring.
    pub fn is_clogged(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether the receiver has ended.
    pub fn is_abandoned(&self) -> bool {
        self.ring.is_abandoned()
    }
}
