//! The words that actors write to each other's mailboxes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use plankhill_admin::{Order, Reply};
use plankhill_decisions::interface::*;
use plankhill_event_log::{AcceptedEvent, Outcome};
use plankhill_hot_restart::{Event, State, Verdict, Word};
use plankhill_raft_groups::{GroupEvent, GroupId};
use serde_json::Value;

use crate::budgets::Place;
use crate::exchange::{Body, Stream};
use crate::passes::Told;

/// To the decisions.
pub enum CameIn {
    Event(Handed),
    /// The client that handed it in under that number went away before it had its answer.
    Withdrawn(EventId, u64),
    SendEnded(EventId, AttemptReport),
    PingEnded {
        target: TargetId,
        fate: AttemptOutcome,
    },
    List(Value),
    /// The target's actor has ended: it had nothing left to own.
    AtRest(TargetId),
    /// The process that this one took over from had a connection to the target, idle since then.
    Kept(TargetId, Stream, Instant),
    /// A new process is to take over: stand still once this round is over.
    HandOver {
        state: Sender<StoodStill>,
        outcome: Receiver<After>,
    },
    Heard(Vec<EventId>),
    /// A copy of a broadcast that is not to be handed in: its end is noted and told.
    TellEnd(AcceptedEvent<'static>, Outcome),
    /// What operators ask; who asked waits for the reply.
    Operator(Order, Sender<Reply>),
    /// What the groups say that keep copies.
    Ground(GroupEvent),
    Closing,
    /// A call is about to be written, some time after it was decided. Answered once what came in before is handed
    /// over: what is decided on it is told to the target's actor in the same turn.
    Look(Sender<()>),
}

/// An event that a client hands in.
pub struct Handed {
    pub number: u64,
    pub event: Event,
    pub patience_ends: Ms,
    pub body: Body,
    pub answer: Sender<Verdict>,
}

/// The decisions stand still, and so does the ledger.
pub struct StoodStill {
    pub state: State,
    /// The ledger's length in bytes.
    pub ledger: u64,
    pub since: Instant,
}

/// How they go on.
pub enum After {
    GoesOn,
    /// Another process decides: words to it, and from it.
    Relays(Sender<Told>, Receiver<Word>),
    /// Another process decided, and has ended.
    Ends,
}

/// To a target's actor.
pub enum ToTarget {
    Send(Sending),
    Ping,
    CloseIdle,
    /// Calls whose last byte is not written yet are not to be written to their end.
    TakeBack,
    Moved(SocketAddr),
    Returned(Box<Returned>),
    /// So many idle connections are over what may be open.
    CloseSome(u32),
    /// Idle connections go to the process that takes over.
    PassIdle,
}

/// A connection that no call uses since then.
pub struct Returned {
    pub stream: Stream,
    pub to: SocketAddr,
    pub since: Instant,
    /// In its pool.
    pub place: Place,
}

pub struct Sending {
    pub event: EventId,
    pub decided: Instant,
    pub fingerprint: Option<Rc<str>>,
    pub body: Body,
    pub time_out: Ms,
    /// Nothing of it leaves after that.
    pub patience_ends: Ms,
    /// When its last byte has to have left, on the clock of the decisions; infinite where nothing bounds it.
    pub leaves_by: Ms,
    /// Where copies are kept: the groups that this forwarder has to hold when its first byte leaves.
    pub groups: Vec<GroupId>,
}

/// An end that is owed to the platform.
pub struct Notice {
    pub event: EventId,
    pub outcome: Outcome,
    pub come_back_after: Option<Ms>,
}
