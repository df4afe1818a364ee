//! Commands of the dispatcher to the proxy.

use std::net::SocketAddr;

use plankhill_decisions::interface::{AttemptOutcome, Ms};
use plankhill_protocol::ids::InstanceId;

use crate::request::RequestKey;

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// Status 200 with the expected `Instance-Id`.
    Healthy,
    /// Any other response, or none.
    Unhealthy,
}

/// A command to the proxy. Commands are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Sends the request to the target, with `Expected-Instance`; the proxy has to call
    /// [`crate::Dispatcher::on_attempt_ended`] afterwards.
    Send {
        /// The request.
        request: RequestKey,
        /// The target.
        target: InstanceId,
        /// The target's address.
        address: SocketAddr,
        /// The time at which the attempt times out: the request's deadline, or earlier if another
        /// attempt may follow.
        deadline: Ms,
        /// The value of the `Priority` header.
        priority: u8,
    },
    /// Final response 503 with `Retry-After`: the request was certainly not executed and never will
    /// be.
    Reject {
        /// The request.
        request: RequestKey,
        /// The delay after which the client should retry.
        retry_after: Ms,
    },
    /// Final response for a request that may have been executed: the last target's own error
    /// response if it has arrived completely; otherwise 504 after a timeout and 502 after any
    /// other outcome. A response that has begun is truncated.
    Fail {
        /// The request.
        request: RequestKey,
        /// The outcome of the request's last attempt.
        last: AttemptOutcome,
    },
    /// Sends the service's health check; the proxy has to call
    /// [`crate::Dispatcher::on_health_check_ended`] afterwards.
    HealthCheck {
        /// The target.
        target: InstanceId,
        /// The target's address.
        address: SocketAddr,
    },
    /// Closes the connections to the target that no attempt uses.
    CloseIdleConnections {
        /// The target.
        target: InstanceId,
    },
    /// Cancels the attempts at the target of which nothing has been written yet; they end as
    /// `NotSent`.
    CancelUnsent {
        /// The target.
        target: InstanceId,
    },
    /// The proxy has to call [`crate::Dispatcher::poll_commands`] at this time, unless another
    /// event requires a call earlier. Replaces an earlier wake-up; no wake-up is needed after
    /// commands without `WakeAt`.
    WakeAt(Ms),
}
