//! Where the process stands in its life, and what is under way in it.

use std::cell::Cell;
use std::rc::Rc;

use plankhill_dispatch::Ms;
use plankhill_draining::shutdown::Shutdown;
use tokio::sync::{watch, Notify};

use crate::clock::duration;

/// What is to become of clients' connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Connections {
    /// They go on.
    #[default]
    Keep,
    /// Those at rest are closed, the others behind the reply that is under way.
    CloseIdle,
    /// All are cut.
    Cut,
}

/// Where the process stands in its life.
#[derive(Debug, Default)]
pub struct Life {
    current: Cell<bool>,
    became_current: Notify,
    shutdown: watch::Sender<Option<Shutdown>>,
    over: watch::Sender<bool>,
    turned_away: Cell<u64>,
    leaving: Cell<bool>,
    requests: Cell<usize>,
    clients: Cell<usize>,
    idle: Notify,
    quiet: Notify,
    connections: watch::Sender<Connections>,
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

    /// The end of the process was asked for; times are on the clock of the process.
    pub fn shut_down(&self, shutdown: Shutdown) {
        self.shutdown.send_replace(Some(shutdown));
    }

    /// Set once the end of the process was asked for.
    pub fn shutdown(&self) -> watch::Receiver<Option<Shutdown>> {
        self.shutdown.subscribe()
    }

    /// Whether a request that came at `arrived` and may take until `deadline` is begun before the process ends.
    pub fn admits(&self, arrived: Ms, deadline: Ms) -> bool {
        let shutdown = *self.shutdown.borrow();
        // Once the end has been decided on, nothing is begun any more.
        !*self.over.borrow()
            && shutdown
                .is_none_or(|shutdown| shutdown.admits(duration(arrived), duration(deadline)))
    }

    /// A request was turned away because the process ends before it could be over.
    pub fn count_turned_away(&self) {
        self.turned_away.set(self.turned_away.get() + 1);
    }

    /// Requests that were turned away because the process ends.
    pub fn turned_away(&self) -> u64 {
        self.turned_away.get()
    }

    /// Nothing is left to be waited for: the process ends now.
    pub fn set_over(&self) {
        self.over.send_replace(true);
    }

    /// Returns when the process is to end.
    pub async fn over(&self) {
        // The sender lives as long as the life itself.
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }

    /// The operator takes the node out of service, or back.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.set(leaving);
    }

    /// Whether new clients are to go elsewhere.
    pub fn turns_away(&self) -> bool {
        self.shutdown.borrow().is_some() || self.leaving.get()
    }

    /// Says what is to become of clients' connections.
    pub fn set_connections(&self, wanted: Connections) {
        self.connections.send_replace(wanted);
    }

    /// What is to become of clients' connections.
    pub fn connections(&self) -> watch::Receiver<Connections> {
        self.connections.subscribe()
    }

    /// Something begins that is to be finished before the process ends.
    pub fn begin_work(self: &Rc<Self>) -> Work {
        self.requests.set(self.requests.get() + 1);
        Work { life: self.clone() }
    }

    /// What is under way.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }

    /// A client has connected.
    pub fn begin_connection(self: &Rc<Self>) -> ClientConnection {
        self.clients.set(self.clients.get() + 1);
        ClientConnection { life: self.clone() }
    }

    /// Clients that are connected.
    pub fn clients(&self) -> usize {
        self.clients.get()
    }

    /// Returns when nothing is under way any more, or the last client has gone.
    pub async fn became_quiet(&self) {
        self.quiet.notified().await;
    }

    /// Returns once nothing is left to be finished.
    pub async fn idle(&self) {
        while self.requests.get() > 0 {
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
        self.life.requests.set(self.life.requests.get() - 1);
        self.life.idle.notify_one();
        if self.life.requests.get() == 0 {
            self.life.quiet.notify_waiters();
        }
    }
}

/// A client's connection that is open.
#[derive(Debug)]
pub struct ClientConnection {
    life: Rc<Life>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.life.clients.set(self.life.clients.get() - 1);
        if self.life.clients.get() == 0 {
            self.life.quiet.notify_waiters();
        }
    }
}
