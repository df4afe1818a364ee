//! Whether clients are to come to this process: shut by operators who empty it, and when it ends.

use std::cell::{Cell, RefCell};

use async_channel::{Receiver, Sender};

pub struct Gate {
    drained: Cell<bool>,
    ends: Cell<bool>,
    /// Who waits for the gate to shut holds a receiver; the sender goes when it does.
    open: RefCell<Option<Sender<()>>>,
    shut: RefCell<Receiver<()>>,
}

impl Default for Gate {
    fn default() -> Self {
        let (open, shut) = async_channel::bounded(1);
        Gate {
            drained: Cell::default(),
            ends: Cell::default(),
            open: RefCell::new(Some(open)),
            shut: RefCell::new(shut),
        }
    }
}

impl Gate {
    /// Empties the forwarder of clients, or takes them again.
    pub fn drain(&self, drained: bool) {
        self.drained.set(drained);
        self.set();
    }

    pub fn is_drained(&self) -> bool {
        self.drained.get()
    }

    /// For good.
    pub fn end(&self) {
        self.ends.set(true);
        self.set();
    }

    /// What is read from now on is answered, and never sent on.
    pub fn has_ended(&self) -> bool {
        self.ends.get()
    }

    fn set(&self) {
        let is_open = self.open.borrow().is_some();
        if is_open && self.is_shut() {
            self.open.take();
        } else if !is_open && !self.is_shut() {
            let (open, shut) = async_channel::bounded(1);
            (*self.open.borrow_mut(), *self.shut.borrow_mut()) = (Some(open), shut);
        }
    }

    pub fn is_shut(&self) -> bool {
        self.drained.get() || self.ends.get()
    }

    pub async fn shuts(&self) {
        let shut = self.shut.borrow().clone();
        let _ = shut.recv().await;
    }
}
