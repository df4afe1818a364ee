//! The dispatcher's commands in the form in which the tasks of requests and of health checks
//! receive them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use plankhill_dispatch::{AttemptOutcome, Ms};
use plankhill_protocol::ids::InstanceId;
use tokio::sync::Notify;

/// A decision of the dispatcher on one request.
#[derive(Debug)]
pub enum Decision {
    /// Send the request to this target.
    Attempt(Attempt),
    /// Respond with 503: the request was certainly not executed and never will be. The value is the
    /// time after which the client should retry.
    Reject(Ms),
    /// The request may have been executed and is not sent again. The value is the outcome of its
    /// last attempt.
    Fail(AttemptOutcome),
}

/// An attempt to send a request to a target.
#[derive(Debug)]
pub struct Attempt {
    /// The target.
    pub target: InstanceId,
    /// The target's address.
    pub address: SocketAddr,
    /// The deadline of the complete response, on the clock of the process.
    pub deadline: Ms,
    /// The value of the `Priority` header.
    pub priority: u8,
    /// The permission to write the request.
    pub send_permit: Rc<SendPermit>,
}

/// Permission to write a request; the dispatcher may revoke it until the request is written.
#[derive(Debug, Default)]
pub struct SendPermit {
    is_revoked: Cell<bool>,
    changed: Notify,
}

impl SendPermit {
    /// Whether the permission has been revoked.
    pub fn is_revoked(&self) -> bool {
        self.is_revoked.get()
    }

    /// Returns once the permission is revoked.
    pub async fn revoked(&self) {
        while !self.is_revoked() {
            self.changed.notified().await;
        }
    }

    /// Revokes the permission; a request that is already written continues.
    pub fn revoke(&self) {
        self.is_revoked.set(true);
        self.changed.notify_one();
    }
}

/// A health check requested by the dispatcher.
#[derive(Debug)]
pub struct HealthCheckRequest {
    /// The target.
    pub target: InstanceId,
    /// The target's address.
    pub address: SocketAddr,
}
