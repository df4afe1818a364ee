//! Messages between the two processes of a hot restart, in MessagePack. Times are milliseconds on
//! the predecessor's clock, which the successor takes over.
//!
//! A variant is encoded by its name and a struct by the order of its fields: `serde(rename)` keeps
//! the names of the protocol, and the order of fields is fixed. `tests/wire_format.rs` pins the
//! bytes.

use std::rc::Rc;

use plankhill_admin::{AdminCommand, AdminReply};
use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DestinationId, EventId, Ms, OrderKey, TargetId, TrafficTypeId,
};
use serde::{Deserialize, Serialize};

/// Version of the messages and of the scheduler's state. A change of either format needs a new version.
pub const PROTOCOL_VERSION: u32 = 1;

/// The names to which positions in the scheduler's state refer: traffic types, kinds and zones.
pub type PositionNames = [Vec<String>; 3];

/// A message from the successor to the predecessor, or from the predecessor to the successor.
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    // From the successor.
    /// A new process requests to take over.
    Hello {
        /// The successor's [`PROTOCOL_VERSION`].
        version: u32,
        /// The successor's names.
        names: PositionNames,
    },
    /// The successor has read the state and is ready to make decisions.
    Prepared,
    /// The successor has written the change of owner, and makes decisions.
    #[serde(rename = "Begun")]
    Activated,
    /// The response to a client of the predecessor.
    #[serde(rename = "Verdict")]
    SubmitAnswered {
        /// Number of the client's request.
        number: u64,
        /// The response.
        response: SubmitResponse,
    },
    /// The reply to an operator at the predecessor's admin address.
    #[serde(rename = "Reply")]
    AdminReplied {
        /// Number of the operator's request.
        number: u64,
        /// The reply.
        reply: AdminReply,
    },
    /// The predecessor cancels those of its calls to the target whose last byte has not been
    /// written.
    #[serde(rename = "TakeBack")]
    CancelUnsent(TargetId),

    // From the predecessor.
    /// The predecessor declines the handover.
    #[serde(rename = "No")]
    Declined {
        /// The reason, for the successor's log.
        reason: String,
    },
    /// The paused predecessor's state, with the listener's descriptor.
    State(Box<ProcessState>),
    /// Transfers ownership of the forwarder to the successor, with the lock's descriptor.
    #[serde(rename = "Yours")]
    Ownership,
    /// A client connection that waits for a request, with its descriptor.
    #[serde(rename = "Client")]
    ClientConnection {
        /// Number of requests served on the connection before: 0, 1, or 2 for two or more.
        requests_served: u64,
        /// Remaining time for which the connection may wait, in milliseconds.
        time_left: Ms,
    },
    /// An idle connection to a target, with its descriptor.
    #[serde(rename = "Idle")]
    IdleConnection {
        /// The target of the connection.
        target: TargetId,
        /// Time for which the connection has been idle, in milliseconds.
        idle_for: Ms,
    },
    /// An event submitted by a client of the predecessor.
    #[serde(rename = "Event")]
    EventSubmitted(SubmittedEvent),
    /// A client of the predecessor disconnected before it received its response.
    #[serde(rename = "Withdrawn")]
    EventWithdrawn {
        /// The event.
        event: EventId,
        /// Number of the client's request.
        number: u64,
    },
    /// An attempt of the predecessor has ended.
    #[serde(rename = "SendEnded")]
    AttemptEnded(EventId, AttemptReport),
    /// A health check of the predecessor has ended.
    #[serde(rename = "PingEnded")]
    HealthCheckEnded {
        /// The target that was checked.
        target: TargetId,
        /// The outcome of the check.
        outcome: AttemptOutcome,
    },
    /// A command received at the predecessor's admin address.
    #[serde(rename = "Operator")]
    AdminCommand {
        /// Number of the operator's request.
        number: u64,
        /// The command.
        command: AdminCommand,
    },
    /// Number of descriptors of clients and calls that the predecessor still has open.
    #[serde(rename = "Holds")]
    OpenDescriptors(usize),
}

impl Message {
    /// Whether the message is sent with a descriptor.
    pub fn carries_descriptor(&self) -> bool {
        matches!(
            self,
            Message::State(_)
                | Message::Ownership
                | Message::ClientConnection { .. }
                | Message::IdleConnection { .. }
        )
    }
}

/// State of the predecessor that is not in the files of the state folder.
#[derive(Debug, Serialize, Deserialize)]
pub struct ProcessState {
    /// Offset by which the predecessor's clock is ahead of the system clock, in milliseconds.
    pub clock_offset: Ms,
    /// The scheduler's state, in MessagePack.
    #[serde(with = "serde_bytes")]
    pub scheduler: Vec<u8>,
    /// Numbers of the requests that submitted the pending events.
    pub request_numbers: Vec<(EventId, u64)>,
    /// First request number of the successor, above all numbers that the predecessor still assigns.
    pub next_request_number: u64,
    /// Events with an attempt in flight.
    pub attempts_in_flight: Vec<EventId>,
    /// Targets with a health check in flight.
    pub health_checks_in_flight: Vec<TargetId>,
    /// Recently completed events with their times of completion: another submission of one is
    /// rejected.
    pub recently_completed: Vec<(Ms, EventId)>,
    /// Targets that were in the endpoint list and no longer are.
    pub formerly_listed: Vec<String>,
    /// Whether operators have drained the forwarder of clients.
    pub drained: bool,
}

/// The event's properties from the head of a client's request.
#[derive(Debug, Serialize, Deserialize)]
pub struct EventHeader {
    /// `Req-Id`.
    pub id: EventId,
    /// `dest` of `X-Envelope`.
    pub destination: DestinationId,
    /// The request's path.
    pub traffic_type: TrafficTypeId,
    /// `Req-Deadline` in milliseconds, at most the timeout of the traffic type.
    pub timeout: Ms,
    /// `about` of `Cookie`, for an ordered traffic type.
    pub key: Option<OrderKey>,
    /// `Idempotency-Key`.
    pub fingerprint: Option<Rc<str>>,
}

/// An event that the predecessor has read, for the successor to accept or reject.
#[derive(Debug, Serialize, Deserialize)]
pub struct SubmittedEvent {
    /// Number of the client's request.
    pub number: u64,
    /// The event's properties from the request's head.
    pub event: EventHeader,
    /// The event's deadline.
    pub deadline: Ms,
    /// The request's body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// The response to a client that submitted an event.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubmitResponse {
    /// The event is accepted and recorded.
    #[serde(rename = "TakenOn")]
    Accepted,
    /// The event is not accepted. It may be submitted again, after the number of milliseconds if one
    /// is given.
    #[serde(rename = "Refused")]
    Rejected(Option<Ms>),
    /// The event was abandoned: an attempt may have executed it.
    Failed,
}
