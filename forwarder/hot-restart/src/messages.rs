//! Messages between the two processes of a hot restart, in MessagePack. Times are milliseconds on the predecessor's
//! clock, which the successor takes over.
//!
//! A variant is encoded by its name and a struct by the order of its fields: `serde(rename)` keeps the names of the
//! protocol, and the order of fields is fixed. `tests/wire_format.rs` pins the bytes.

use std::rc::Rc;

use plankhill_admin::{AdminCommand, AdminReply};
use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DestinationId, EventId, Ms, OrderKey, TargetId, TrafficTypeId,
};
use serde::{Deserialize, Serialize};

/// Version of the messages and of the scheduler's state. A change of either form makes another.
pub const PROTOCOL_VERSION: u32 = 1;

/// What positions in the scheduler's state stand for: names of traffic types, kinds and zones.
pub type PositionNames = [Vec<String>; 3];

/// From the successor to the predecessor, or back.
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    // From the successor.
    /// A new process asks to take over.
    Hello {
        /// The successor's [`PROTOCOL_VERSION`].
        version: u32,
        /// The successor's names.
        names: PositionNames,
    },
    /// The successor has read the state and could decide.
    Prepared,
    /// The successor has written the change of owner, and decides.
    #[serde(rename = "Begun")]
    Activated,
    /// The answer to a client of the predecessor's.
    #[serde(rename = "Verdict")]
    SubmitAnswered {
        /// The client's request.
        number: u64,
        /// The answer.
        response: SubmitResponse,
    },
    /// The reply to an operator at the predecessor's admin address.
    #[serde(rename = "Reply")]
    AdminReplied {
        /// The operator's request.
        number: u64,
        /// The reply.
        reply: AdminReply,
    },
    /// Calls of the predecessor's to the target whose last byte is not written are not to be written.
    #[serde(rename = "TakeBack")]
    CancelUnsent(TargetId),

    // From the predecessor.
    /// Nothing is handed over.
    #[serde(rename = "No")]
    Declined {
        /// The reason, for the successor's log.
        reason: String,
    },
    /// The paused predecessor's state, with the listener's descriptor.
    State(Box<ProcessState>),
    /// The forwarder is the successor's, with the lock's descriptor.
    #[serde(rename = "Yours")]
    Ownership,
    /// A client's connection that waits for a request, with its descriptor.
    #[serde(rename = "Client")]
    ClientConnection {
        /// Requests served on it before: 0, 1, or 2 for more.
        requests_served: u64,
        /// How long the connection may wait yet, in milliseconds.
        time_left: Ms,
    },
    /// An idle connection to a target, with its descriptor.
    #[serde(rename = "Idle")]
    IdleConnection {
        /// Where the connection goes.
        target: TargetId,
        /// How long the connection has been idle, in milliseconds.
        idle_for: Ms,
    },
    /// An event that a client of the predecessor's submits.
    #[serde(rename = "Event")]
    EventSubmitted(SubmittedEvent),
    /// A client of the predecessor's went away before it had its answer.
    #[serde(rename = "Withdrawn")]
    EventWithdrawn {
        /// The event.
        event: EventId,
        /// The client's request.
        number: u64,
    },
    /// An attempt of the predecessor's has ended.
    #[serde(rename = "SendEnded")]
    AttemptEnded(EventId, AttemptReport),
    /// A health check of the predecessor's has ended.
    #[serde(rename = "PingEnded")]
    HealthCheckEnded {
        /// The target that was checked.
        target: TargetId,
        /// How the check ended.
        outcome: AttemptOutcome,
    },
    /// A command at the predecessor's admin address.
    #[serde(rename = "Operator")]
    AdminCommand {
        /// The operator's request.
        number: u64,
        /// The command.
        command: AdminCommand,
    },
    /// Descriptors of clients and calls that the predecessor still holds.
    #[serde(rename = "Holds")]
    OpenDescriptors(usize),
}

impl Message {
    /// Whether the message comes with a descriptor.
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

/// What the predecessor keeps beside the files of the state folder.
#[derive(Debug, Serialize, Deserialize)]
pub struct ProcessState {
    /// How far the predecessor's clock is ahead of the system's, in milliseconds.
    pub clock_offset: Ms,
    /// The scheduler, in MessagePack.
    #[serde(with = "serde_bytes")]
    pub scheduler: Vec<u8>,
    /// Numbers of the requests that submitted the pending events.
    pub request_numbers: Vec<(EventId, u64)>,
    /// The successor numbers requests from here, above all that the predecessor still numbers.
    pub next_request_number: u64,
    /// Events with an attempt in flight.
    pub attempts_in_flight: Vec<EventId>,
    /// Targets with a health check in flight.
    pub health_checks_in_flight: Vec<TargetId>,
    /// Events that completed lately, with when: another submission of one is rejected.
    pub recently_completed: Vec<(Ms, EventId)>,
    /// Targets that were listed and are not any more.
    pub formerly_listed: Vec<String>,
    /// Whether operators have drained the forwarder of clients.
    pub drained: bool,
}

/// What the head of a client's request says of its event.
#[derive(Debug, Serialize, Deserialize)]
pub struct EventHeader {
    /// `Req-Id`.
    pub id: EventId,
    /// `dest` of `X-Envelope`.
    pub destination: DestinationId,
    /// The request's path.
    pub traffic_type: TrafficTypeId,
    /// `Req-Deadline` in milliseconds, at most that of the traffic type.
    pub timeout: Ms,
    /// `about` of `Cookie`, for a traffic type with order.
    pub key: Option<OrderKey>,
    /// `Idempotency-Key`.
    pub fingerprint: Option<Rc<str>>,
}

/// An event that was read by the predecessor and is to be decided on by the successor.
#[derive(Debug, Serialize, Deserialize)]
pub struct SubmittedEvent {
    /// The client's request.
    pub number: u64,
    /// The request's head.
    pub event: EventHeader,
    /// When the event's deadline is.
    pub deadline: Ms,
    /// The request's body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// The answer to a client that submitted an event.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubmitResponse {
    /// The event is accepted and recorded.
    #[serde(rename = "TakenOn")]
    Accepted,
    /// The event is not accepted. It may be submitted again, after that many milliseconds if they are given.
    #[serde(rename = "Refused")]
    Rejected(Option<Ms>),
    /// The event was abandoned: an attempt may have run.
    Failed,
}
