//! Counts the unfinished work of the process and its client connections by means of guards. Owned
//! by [`crate::lifecycle::Lifecycle`]; draining waits until both counts are zero.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counts of the work that must finish before the process ends, and of open client connections.
#[derive(Debug, Default)]
pub struct InFlight {
    work: Cell<usize>,
    connections: Cell<usize>,
    work_finished: Notify,
    became_idle: Notify,
}

impl InFlight {
    /// Begins a unit of work, which ends when the guard is dropped.
    pub fn begin_work(self: &Rc<Self>) -> WorkGuard {
        self.work.set(self.work.get() + 1);
        WorkGuard {
            in_flight: self.clone(),
        }
    }

    /// Counts a new client connection, which ends when the guard is dropped.
    pub fn begin_connection(self: &Rc<Self>) -> ConnectionGuard {
        self.connections.set(self.connections.get() + 1);
        ConnectionGuard {
            in_flight: self.clone(),
        }
    }

    /// Number of live work guards.
    pub fn work(&self) -> usize {
        self.work.get()
    }

    /// Number of live connection guards.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Returns when the last unit of work, or the last connection, ends.
    pub async fn became_idle(&self) {
        self.became_idle.notified().await;
    }

    /// Returns once no unfinished work is left.
    pub async fn work_finished(&self) {
        while self.work.get() > 0 {
            self.work_finished.notified().await;
        }
    }
}

/// A unit of work that must finish before the process ends.
#[derive(Debug)]
pub struct WorkGuard {
    in_flight: Rc<InFlight>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let left = self.in_flight.work.get() - 1;
        self.in_flight.work.set(left);
        self.in_flight.work_finished.notify_one();
        if left == 0 {
            self.in_flight.became_idle.notify_waiters();
        }
    }
}

/// An open client connection.
#[derive(Debug)]
pub struct ConnectionGuard {
    in_flight: Rc<InFlight>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let left = self.in_flight.connections.get() - 1;
        self.in_flight.connections.set(left);
        if left == 0 {
            self.in_flight.became_idle.notify_waiters();
        }
    }
}
