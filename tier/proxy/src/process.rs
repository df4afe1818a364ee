//! What the tasks of the process share.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::admission::Admission;
use crate::clock::Clock;
use crate::exchange::Targets;
use crate::memory::Memory;
use crate::snapshot::SnapshotCell;
use crate::turn_store::TurnStore;

/// The process as its tasks see it.
pub struct Proxy {
    /// The clock of all deadlines.
    pub clock: Clock,
    /// The tables.
    pub snapshots: SnapshotCell,
    /// The dispatcher.
    pub admission: Rc<Admission>,
    /// Connections to targets.
    pub targets: Targets,
    /// Turns and budgets.
    pub turns: Rc<dyn TurnStore>,
    /// Memory for bodies.
    pub memory: Rc<Memory>,
    /// Where the process stands in its life.
    pub life: Rc<Life>,
}

/// Where the process stands in its life.
#[derive(Debug, Default)]
pub struct Life {
    current: Cell<bool>,
    became_current: Notify,
    ending: Cell<bool>,
    busy: Cell<usize>,
    idle: Notify,
}

impl Life {
    /// The tables have been the newest once in this life; what follows goes on from there.
    pub fn set_current(&self) {
        self.current.set(true);
        self.became_current.notify_waiters();
    }

    /// Returns once the tables have been the newest.
    pub async fn current(&self) {
        while !self.is_current() {
            self.became_current.notified().await;
        }
    }

    /// Whether the tables have been the newest once.
    pub fn is_current(&self) -> bool {
        self.current.get()
    }

    /// The end of the process was asked for.
    pub fn set_ending(&self) {
        self.ending.set(true);
    }

    /// Whether the end was asked for.
    pub fn is_ending(&self) -> bool {
        self.ending.get()
    }

    /// Something begins that is to be finished before the process ends.
    pub fn begin_work(self: &Rc<Self>) -> Work {
        self.busy.set(self.busy.get() + 1);
        Work { life: self.clone() }
    }

    /// Returns once nothing is left to be finished.
    pub async fn idle(&self) {
        while self.busy.get() > 0 {
            self.idle.notified().await;
        }
    }
}

/// Something that is to be finished before the process ends.
#[derive(Debug)]
pub struct Work {
    life: Rc<Life>,
}

impl Drop for Work {
    fn drop(&mut self) {
        self.life.busy.set(self.life.busy.get() - 1);
        self.life.idle.notify_one();
    }
}
