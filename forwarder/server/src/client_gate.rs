//! Admission of clients to this process: the gate is shut while operators drain the process, and at
//! shutdown. Shared by the client connections, the event loop (which sets it) and `server`.

use std::cell::{Cell, RefCell};

use async_channel::{Receiver, Sender};

/// Gate for clients, open initially.
pub struct ClientGate {
    drained: Cell<bool>,
    shutting_down: Cell<bool>,
    /// Dropped when the gate shuts, which wakes the receivers.
    open: RefCell<Option<Sender<()>>>,
    shut: RefCell<Receiver<()>>,
}

impl Default for ClientGate {
    fn default() -> Self {
        let (open, shut) = async_channel::bounded(1);
        ClientGate {
            drained: Cell::default(),
            shutting_down: Cell::default(),
            open: RefCell::new(Some(open)),
            shut: RefCell::new(shut),
        }
    }
}

impl ClientGate {
    /// Shuts the gate for a drain, or admits clients again.
    pub fn set_drained(&self, drained: bool) {
        self.drained.set(drained);
        self.update();
    }

    pub fn is_drained(&self) -> bool {
        self.drained.get()
    }

    /// Shuts the gate permanently. Requests that are read from now on are answered, but never
    /// forwarded.
    pub fn shut_down(&self) {
        self.shutting_down.set(true);
        self.update();
    }

    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    fn update(&self) {
        let was_open = self.open.borrow().is_some();
        let is_open = !self.is_shut();
        if was_open && !is_open {
            self.open.take();
        } else if !was_open && is_open {
            let (open, shut) = async_channel::bounded(1);
            *self.open.borrow_mut() = Some(open);
            *self.shut.borrow_mut() = shut;
        }
    }

    pub fn is_shut(&self) -> bool {
        self.drained.get() || self.shutting_down.get()
    }

    /// Returns once the gate is shut.
    pub async fn wait_until_shut(&self) {
        let shut = self.shut.borrow().clone();
        let _ = shut.recv().await;
    }
}
