//! Messages in the mailboxes of the server's tasks: inputs of the event loop, commands to a
//! target's actor, and notices for the notifier.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use plankhill_admin::{AdminCommand, AdminReply};
use plankhill_decisions::interface::{AttemptOutcome, AttemptReport, EventId, Ms, TargetId};
use plankhill_event_log::{AcceptedEvent, Outcome};
use plankhill_hot_restart::{EventHeader, Message, ProcessState, SubmitResponse};
use plankhill_raft_groups::{GroupEvent, GroupId};
use serde_json::Value;

use crate::connection_quotas::Permit;
use crate::hot_restart::transfer::Outgoing;
use crate::stream::{Body, Stream};

/// Input of the event loop.
pub enum Input {
    /// A client submits an event.
    Submitted(Submission),
    /// The client of the request with that number disconnected before it received its response.
    Withdrawn { event: EventId, request_number: u64 },
    /// An attempt has ended.
    AttemptEnded {
        event: EventId,
        report: AttemptReport,
    },
    /// A health check has ended.
    HealthCheckEnded {
        target: TargetId,
        outcome: AttemptOutcome,
    },
    /// A page of the endpoint list from discovery.
    EndpointPage(Value),
    /// The target's actor has ended: it no longer owned a connection or a call.
    TargetActorStopped(TargetId),
    /// An idle connection of the predecessor process.
    ConnectionInherited(InheritedConnection),
    /// A successor process requests a handover: the loop pauses at the end of the iteration.
    HandOver(HandoverRequest),
    /// The platform has acknowledged the notices of these events.
    NoticesAcknowledged(Vec<EventId>),
    /// A broadcast copy that is not to be submitted: its outcome is recorded, and the platform is
    /// notified.
    BroadcastOutcome {
        event: AcceptedEvent<'static>,
        outcome: Outcome,
    },
    /// An operator's command; its caller waits for the reply.
    AdminCommand {
        command: AdminCommand,
        reply: Sender<AdminReply>,
    },
    /// An event of the Raft groups that replicate event logs.
    GroupEvent(GroupEvent),
    /// The process is to shut down once nothing is pending.
    ShutdownRequested,
    /// Sent by a call that is about to be written some time after it was decided, and answered once
    /// the earlier inputs are applied. The resulting decisions, which may cancel the call, reach the
    /// target's actor in the same turn of the executor.
    Barrier(Sender<()>),
}

/// An event that a client submits.
pub struct Submission {
    pub request_number: u64,
    pub event: EventHeader,
    /// Time on the decision clock ([`crate::clock::Clock`]).
    pub deadline: Ms,
    pub body: Body,
    /// Channel to the waiting client. If it is dropped, the connection is closed without a
    /// response.
    pub response: Sender<SubmitResponse>,
}

/// An idle connection of the predecessor process.
pub struct InheritedConnection {
    pub target: TargetId,
    pub stream: Stream,
    pub idle_since: Instant,
}

/// A request of a successor process for the event loop's state.
pub struct HandoverRequest {
    /// Receives the state; dropped without a value if the state cannot be handed over.
    pub snapshot: Sender<HandoverSnapshot>,
    /// Receives the outcome of the handover.
    pub outcome: Receiver<HandoverOutcome>,
}

/// State of a paused event loop; the log is paused as well.
pub struct HandoverSnapshot {
    pub state: ProcessState,
    /// Length of the log file in bytes.
    pub log_length: u64,
    pub paused_since: Instant,
}

/// Outcome of a handover, which determines how the paused event loop continues.
pub enum HandoverOutcome {
    /// The handover failed: this process continues to decide.
    Resume,
    /// The successor decides. Channels of the messages to the successor and from it.
    Relay(Sender<Outgoing>, Receiver<Message>),
    /// The successor took over, and has ended since.
    Exit,
}

/// Command to a target's actor.
pub enum TargetCommand {
    Call(OutgoingCall),
    HealthCheck,
    /// Close the connections that no call uses.
    CloseIdle,
    /// Cancel the calls whose last byte has not been written.
    CancelUnsent,
    /// The address of the target has changed.
    AddressChanged(SocketAddr),
    ConnectionReturned(Box<ReturnedConnection>),
    /// Close this number of idle connections, which exceed their quota.
    CloseSurplus(u32),
    /// Transfer idle connections to the successor process, now and as calls end.
    TransferIdle,
}

/// A connection whose call has ended, now idle.
pub struct ReturnedConnection {
    pub stream: Stream,
    pub address: SocketAddr,
    pub idle_since: Instant,
    /// The connection's permit in its quota.
    pub permit: Permit,
}

/// One attempt of an event.
pub struct OutgoingCall {
    pub event: EventId,
    pub decided_at: Instant,
    pub fingerprint: Option<Rc<str>>,
    pub body: Body,
    pub timeout: Ms,
    /// The event's deadline: no byte of the call is sent after it.
    pub deadline: Ms,
    /// Time on the decision clock by which the call's last byte has to be sent; infinite if there
    /// is no limit.
    pub last_byte_deadline: Ms,
    /// With replication: the groups whose lease this process has to hold when the call's first byte
    /// is sent.
    pub groups: Vec<GroupId>,
}

/// An outcome to report to the platform.
pub struct CompletionNotice {
    pub event: EventId,
    pub outcome: Outcome,
    /// Delay in milliseconds, from now, after which the event may be submitted again.
    pub retry_after: Option<Ms>,
}
