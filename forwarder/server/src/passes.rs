//! The way to the process that takes over: while it is open, connections that wait for something go there.

use std::cell::RefCell;
use std::os::fd::OwnedFd;

use async_channel::{Receiver, Sender};
use plankhill_hot_restart::{Passage, Word};

/// A word, with a descriptor that is closed here once it is told.
pub type Told = (Word, Option<OwnedFd>);

/// Tells the other process all that is said, in order, until it has gone.
pub async fn tell_all(passage: Passage, told: Receiver<Told>) {
    while let Ok((word, descriptor)) = told.recv().await {
        if passage.tell(&word, descriptor).await.is_err() {
            return;
        }
    }
}

pub struct Passes {
    to: RefCell<Option<Sender<Told>>>,
    /// Who waits for the way to open holds a receiver; the sender goes when it does.
    shut: RefCell<Option<Sender<()>>>,
    opens: Receiver<()>,
}

impl Default for Passes {
    fn default() -> Self {
        let (shut, opens) = async_channel::bounded(1);
        Passes {
            to: RefCell::default(),
            shut: RefCell::new(Some(shut)),
            opens,
        }
    }
}

impl Passes {
    pub fn open(&self, to: Sender<Told>) {
        *self.to.borrow_mut() = Some(to);
        self.shut.take();
    }

    pub fn to(&self) -> Option<Sender<Told>> {
        self.to.borrow().clone()
    }

    pub async fn opens(&self) {
        let _ = self.opens.recv().await;
    }
}
