//! Messages that the server's tasks put into each other's mailboxes: inputs of the event loop, commands to a target's
//! actor, and notices for the notifier.

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

/// To the event loop.
pub enum Input {
    /// A client submits an event.
    Submitted(Submission),
    /// The client whose request had that number went away before it had its answer.
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
    /// A page of discovery's endpoint list.
    EndpointPage(Value),
    /// The target's actor has ended: it owned no connection and no call any more.
    TargetActorStopped(TargetId),
    /// An idle connection of the process that this one took over from.
    ConnectionInherited(InheritedConnection),
    /// A successor process is to take over: the loop pauses once the iteration is over.
    HandOver(HandoverRequest),
    /// The platform has acknowledged the notices of these events.
    NoticesAcknowledged(Vec<EventId>),
    /// A broadcast's copy that is not to be submitted: its outcome is recorded, and the platform notified.
    BroadcastOutcome {
        event: AcceptedEvent<'static>,
        outcome: Outcome,
    },
    /// An operator's command; its caller waits for the reply.
    AdminCommand {
        command: AdminCommand,
        reply: Sender<AdminReply>,
    },
    /// From the Raft groups that replicate event logs.
    GroupEvent(GroupEvent),
    /// The process is to end once nothing is pending.
    ShutdownRequested,
    /// A call is about to be written, some time after it was decided. Answered once the inputs before are applied: what
    /// is decided on them reaches the target's actor in the same turn of the executor.
    Barrier(Sender<()>),
}

/// An event that a client submits.
pub struct Submission {
    pub request_number: u64,
    pub event: EventHeader,
    /// On the clock of the decisions.
    pub deadline: Ms,
    pub body: Body,
    /// The waiting client; dropped, its connection is closed without an answer.
    pub response: Sender<SubmitResponse>,
}

/// A connection of the predecessor's, idle since then.
pub struct InheritedConnection {
    pub target: TargetId,
    pub stream: Stream,
    pub idle_since: Instant,
}

/// A successor process asks for the event loop's state.
pub struct HandoverRequest {
    /// Where the state goes; dropped without a value if it cannot be handed over.
    pub snapshot: Sender<HandoverSnapshot>,
    /// How the event loop goes on.
    pub outcome: Receiver<HandoverOutcome>,
}

/// The state of an event loop that is paused, as its log is.
pub struct HandoverSnapshot {
    pub state: ProcessState,
    /// Length of the log's file in bytes.
    pub log_length: u64,
    pub paused_since: Instant,
}

/// How a paused event loop goes on.
pub enum HandoverOutcome {
    /// The handover failed: this process decides.
    Resume,
    /// The successor decides: messages to it, and from it.
    Relay(Sender<Outgoing>, Receiver<Message>),
    /// The successor decided, and has ended.
    Exit,
}

/// To a target's actor.
pub enum TargetCommand {
    Call(OutgoingCall),
    HealthCheck,
    /// Close connections that no call uses.
    CloseIdle,
    /// Calls whose last byte is not written yet are not to be written to their end.
    CancelUnsent,
    /// The target listens at another address.
    AddressChanged(SocketAddr),
    ConnectionReturned(Box<ReturnedConnection>),
    /// So many idle connections exceed their quota.
    CloseSurplus(u32),
    /// Idle connections go to the successor process, now and as calls end.
    TransferIdle,
}

/// A connection that no call uses since then.
pub struct ReturnedConnection {
    pub stream: Stream,
    pub address: SocketAddr,
    pub idle_since: Instant,
    /// The connection's part of its quota.
    pub permit: Permit,
}

/// One attempt of an event.
pub struct OutgoingCall {
    pub event: EventId,
    pub decided_at: Instant,
    pub fingerprint: Option<Rc<str>>,
    pub body: Body,
    pub timeout: Ms,
    /// The event's deadline: nothing of the call leaves after it.
    pub deadline: Ms,
    /// When the call's last byte has to have left, on the clock of the decisions; infinite where nothing bounds it.
    pub leave_by: Ms,
    /// With replication: groups whose lease this process has to hold when the call's first byte leaves.
    pub groups: Vec<GroupId>,
}

/// An outcome that the platform is to be notified of.
pub struct CompletionNotice {
    pub event: EventId,
    pub outcome: Outcome,
    /// When the event may be submitted again, in milliseconds from now.
    pub retry_after: Option<Ms>,
}
