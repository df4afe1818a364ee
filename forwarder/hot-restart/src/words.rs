//! What two processes of one forwarder say to each other. Times are milliseconds on the clock of the elder,
//! which the heir takes over.

use std::rc::Rc;

use plankhill_admin::{Order, Reply};
use plankhill_decisions::interface::*;
use serde::{Deserialize, Serialize};

/// Of the words and of the module's state. A change of either form makes it another.
pub const VERSION: u32 = 1;

/// What positions in the module's state stand for: traffic types, kinds, zones.
pub type Names = [Vec<String>; 3];

#[derive(Debug, Serialize, Deserialize)]
pub enum Word {
    // from the heir, the new process
    Hello {
        version: u32,
        names: Names,
    },
    /// It has read all and could decide.
    Prepared,
    /// It has written the change of owner, and decides.
    Begun,
    /// What a client of the elder's is to be told.
    Verdict {
        number: u64,
        verdict: Verdict,
    },
    Reply {
        number: u64,
        reply: Reply,
    },
    /// Calls of the elder's to the target of which nothing is written are not to be written.
    TakeBack(TargetId),

    // from the elder, the process that was there before
    No {
        why: String,
    },
    /// With the listener.
    State(Box<State>),
    /// With the lock.
    Yours,
    /// With a connection of a client that waits for a request: how many it asked before, and the time left.
    Client {
        asked: u64,
        left: Ms,
    },
    /// With a connection to a target, idle for so long.
    Idle {
        target: TargetId,
        age: Ms,
    },
    Event(Handed),
    Withdrawn {
        event: EventId,
        number: u64,
    },
    SendEnded(EventId, AttemptReport),
    PingEnded {
        target: TargetId,
        fate: AttemptOutcome,
    },
    Operator {
        number: u64,
        order: Order,
    },
    /// Descriptors of clients and calls that it still holds.
    Holds(usize),
}

/// What the elder keeps beside its ledger, its list and its bans.
#[derive(Debug, Serialize, Deserialize)]
pub struct State {
    /// How far its clock is ahead of the system's.
    pub ahead: Ms,
    #[serde(with = "serde_bytes")]
    pub module: Vec<u8>,
    /// Of the requests that handed in the events held.
    pub numbers: Vec<(EventId, u64)>,
    /// The heir numbers requests from here, above all that the elder still numbers.
    pub next_number: u64,
    /// Events with a send out, and targets with a ping out.
    pub out: Vec<EventId>,
    pub pings: Vec<TargetId>,
    /// Events that are over, with when: a copy of one is refused.
    pub past: Vec<(Ms, EventId)>,
    /// Targets that were listed and are not any more.
    pub once_listed: Vec<String>,
    pub drained: bool,
}

/// What the head of a request says of its event.
#[derive(Debug, Serialize, Deserialize)]
pub struct Event {
    pub id: EventId,
    pub destination: DestinationId,
    pub traffic: TrafficTypeId,
    pub patience: Ms,
    pub key: Option<OrderKey>,
    pub fingerprint: Option<Rc<str>>,
}

/// An event that was read by the elder and is to be decided by the heir.
#[derive(Debug, Serialize, Deserialize)]
pub struct Handed {
    pub number: u64,
    pub event: Event,
    pub patience_ends: Ms,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// What a client is to be told of its event.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    TakenOn,
    /// It may come again, after that time if one is told.
    Refused(Option<Ms>),
    Failed,
}
