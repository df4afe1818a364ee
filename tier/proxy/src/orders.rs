//! What the dispatcher's commands mean for the tasks that carry them out.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use plankhill_dispatch::{AttemptOutcome, Ms};
use plankhill_protocol::ids::InstanceId;
use tokio::sync::Notify;

/// What the dispatcher has decided on one request.
#[derive(Debug)]
pub enum Order {
    /// It goes to this target.
    Call(Call),
    /// It has surely not run and never will: 503, with the time after which the client is to come back.
    Refuse(Ms),
    /// It may have run and does not go again.
    Fail(AttemptOutcome),
}

/// One call of a target.
#[derive(Debug)]
pub struct Call {
    /// Whom.
    pub target: InstanceId,
    /// Where that listens.
    pub address: SocketAddr,
    /// The answer is due then.
    pub deadline: Ms,
    /// For the `Priority` header.
    pub priority: u8,
    /// Whether the call may still be written.
    pub leave: Rc<Leave>,
}

/// Leave to write a call; the dispatcher may take it back until the call is written.
#[derive(Debug, Default)]
pub struct Leave {
    taken_back: Cell<bool>,
    changed: Notify,
}

impl Leave {
    /// Whether the call must not be written any more.
    pub fn is_taken_back(&self) -> bool {
        self.taken_back.get()
    }

    /// Returns once the leave is taken back.
    pub async fn taken_back(&self) {
        while !self.is_taken_back() {
            self.changed.notified().await;
        }
    }

    /// Takes the leave back; a call that is written already goes on.
    pub fn take_back(&self) {
        self.taken_back.set(true);
        self.changed.notify_one();
    }
}

/// A health check that the dispatcher asks for.
#[derive(Debug)]
pub struct PingOrder {
    /// Whom.
    pub target: InstanceId,
    /// Where that listens.
    pub address: SocketAddr,
}
