//! Channel to the successor process: while it is open, connections that wait for a request or a
//! call are transferred to the successor.

use std::cell::RefCell;
use std::os::fd::OwnedFd;

use async_channel::{Receiver, Sender};
use plankhill_hot_restart::{Message, MessageSender};

/// A message with an optional descriptor, which this process closes after the message is sent.
pub type Outgoing = (Message, Option<OwnedFd>);

/// Sends all messages to the other process, in order, until that process has ended.
pub async fn send_all(sender: MessageSender, outgoing: Receiver<Outgoing>) {
    while let Ok((message, descriptor)) = outgoing.recv().await {
        if sender.send(&message, descriptor).await.is_err() {
            return;
        }
    }
}

/// Channel to the successor, closed until this process has handed over.
pub struct TransferChannel {
    to_successor: RefCell<Option<Sender<Outgoing>>>,
    /// Dropped when the channel opens, which wakes the receivers.
    closed: RefCell<Option<Sender<()>>>,
    opened: Receiver<()>,
}

impl Default for TransferChannel {
    fn default() -> Self {
        let (closed, opened) = async_channel::bounded(1);
        TransferChannel {
            to_successor: RefCell::default(),
            closed: RefCell::new(Some(closed)),
            opened,
        }
    }
}

impl TransferChannel {
    pub fn open(&self, to_successor: Sender<Outgoing>) {
        *self.to_successor.borrow_mut() = Some(to_successor);
        self.closed.take();
    }

    /// Sender of messages and connections to the successor; `None` while the channel is closed.
    pub fn sender(&self) -> Option<Sender<Outgoing>> {
        self.to_successor.borrow().clone()
    }

    /// Returns once the channel is open.
    pub async fn wait_until_open(&self) {
        let _ = self.opened.recv().await;
    }
}
