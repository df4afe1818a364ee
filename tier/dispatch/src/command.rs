//! What the dispatcher orders the proxy to do.

use std::net::SocketAddr;

use plankhill_decisions::interface::{AttemptOutcome, Ms};
use plankhill_protocol::ids::InstanceId;

use crate::request::RequestKey;

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// Status 200 with the `Instance-Id` that was asked for.
    Healthy,
    /// Any other answer, or none.
    Unhealthy,
}

/// An order to the proxy. Orders are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Sends the request to the target, with `Expected-Instance`;
    /// [`crate::Dispatcher::on_attempt_ended`] has to follow.
    Send {
        /// The request.
        request: RequestKey,
        /// The target.
        target: InstanceId,
        /// The target's address.
        address: SocketAddr,
        /// The attempt ends as timed out then: at the request's deadline, or earlier where another
        /// attempt may follow.
        deadline: Ms,
        /// The value of the `Priority` header.
        priority: u8,
    },
    /// Final answer 503 with `Retry-After`: the request was surely not executed and never will be.
    Reject {
        /// The request.
        request: RequestKey,
        /// When the client is to come back, counted from now.
        retry_after: Ms,
    },
    /// Final answer for a request that may have been executed: the last target's own failure if it
    /// has arrived completely; otherwise 504 after a time-out and 502 after any other outcome. An
    /// answer that has begun is truncated.
    Fail {
        /// The request.
        request: RequestKey,
        /// How its last attempt ended.
        last: AttemptOutcome,
    },
    /// Sends the service's health check; [`crate::Dispatcher::on_health_check_ended`] has to
    /// follow.
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
    /// Revokes attempts at the target of which nothing is written yet: they end as `NotSent`.
    CancelUnsent {
        /// The target.
        target: InstanceId,
    },
    /// [`crate::Dispatcher::poll_commands`] is to be called at this time, if nothing else calls for
    /// it earlier. Replaces an earlier wake-up; commands without it need none.
    WakeAt(Ms),
}
