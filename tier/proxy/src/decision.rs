//! The dispatcher's commands as the tasks of requests and of health checks get them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use plankhill_dispatch::{AttemptOutcome, Ms};
use plankhill_protocol::ids::InstanceId;
use tokio::sync::Notify;

/// What the dispatcher has decided on one request.
#[derive(Debug)]
pub enum Decision {
    /// The request is sent to this target.
    Attempt(Attempt),
    /// The request was surely not executed and never will be: 503, with the time after which the
    /// client is to come back.
    Reject(Ms),
    /// The request may have been executed and is not sent again; how its last attempt ended.
    Fail(AttemptOutcome),
}

/// One attempt at one target.
#[derive(Debug)]
pub struct Attempt {
    /// The target.
    pub target: InstanceId,
    /// The target's address.
    pub address: SocketAddr,
    /// When the complete answer is due, on the clock of the process.
    pub deadline: Ms,
    /// The value of the `Priority` header.
    pub priority: u8,
    /// Whether the request may still be written.
    pub send_permit: Rc<SendPermit>,
}

/// Permission to write a request; the dispatcher may revoke it until the request is written.
#[derive(Debug, Default)]
pub struct SendPermit {
    is_revoked: Cell<bool>,
    changed: Notify,
}

impl SendPermit {
    /// Whether the request must not be written any more.
    pub fn is_revoked(&self) -> bool {
        self.is_revoked.get()
    }

    /// Returns once the permission is revoked.
    pub async fn revoked(&self) {
        while !self.is_revoked() {
            self.changed.notified().await;
        }
    }

    /// Revokes the permission; a request that is written already goes on.
    pub fn revoke(&self) {
        self.is_revoked.set(true);
        self.changed.notify_one();
    }
}

/// A health check that the dispatcher asks for.
#[derive(Debug)]
pub struct HealthCheckRequest {
    /// The target.
    pub target: InstanceId,
    /// The target's address.
    pub address: SocketAddr,
}
