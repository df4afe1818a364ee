//! Bounded rings between threads: the sender never waits, and the receiver is woken.

use std::collections::VecDeque;
use std::thread::Thread;

use rtrb::Producer;

/// How the receiver is woken.
pub enum Bell {
    Thread(Thread),
    Task(async_channel::Sender<()>),
}

impl Bell {
    pub fn ring(&self) {
        match self {
            Bell::Thread(thread) => thread.unpark(),
            // One that has not been heard yet is enough.
            Bell::Task(bell) => drop(bell.try_send(())),
        }
    }
}

/// The sending end. What does not fit waits here in its order; who sends has to heed [`Sender::is_clogged`]
/// and take nothing more in until it is over, so that what waits is bounded by what one turn of it makes.
pub struct Sender<T> {
    ring: Producer<T>,
    waiting: VecDeque<T>,
    bell: Bell,
}

/// How much may wait of what may be lost.
const MOST_WAITING: usize = 4096;

impl<T> Sender<T> {
    pub fn new(ring: Producer<T>, bell: Bell) -> Self {
        Sender {
            ring,
            waiting: VecDeque::new(),
            bell,
        }
    }

    pub fn send(&mut self, value: T) {
        self.waiting.push_back(value);
    }

    /// Sends what may be lost: it is, while much waits before it.
    pub fn send_or_lose(&mut self, value: T) {
        if self.waiting.len() < MOST_WAITING {
            self.waiting.push_back(value);
        }
    }

    /// Sends it only where there is room at once.
    pub fn try_send(&mut self, value: T) -> Result<(), T> {
        if !self.waiting.is_empty() {
            return Err(value);
        }
        let sent = self
            .ring
            .push(value)
            .map_err(|rtrb::PushError::Full(value)| value);
        self.bell.ring();
        sent
    }

    /// Moves on what waits. True if anything went.
    pub fn flush(&mut self) -> bool {
        let mut any = false;
        while let Some(value) = self.waiting.pop_front() {
            if let Err(rtrb::PushError::Full(value)) = self.ring.push(value) {
                self.waiting.push_front(value);
                break;
            }
            any = true;
        }
        if any || !self.waiting.is_empty() {
            self.bell.ring();
        }
        any
    }

    pub fn wake(&self) {
        self.bell.ring();
    }

    pub fn is_clogged(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The receiver has ended.
    pub fn is_over(&self) -> bool {
        self.ring.is_abandoned()
    }
}
