//! What the log holds, and what applying it tells each instance. A command that no longer fits changes nothing:
//! it may have been proposed twice, late, or by an instance that was replaced meanwhile.

use plankhill_decisions::interface::Ms;
use serde::{Deserialize, Serialize};

use crate::bounds::Bounds;
use crate::names::*;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// What the fleet file says; replaces what it said before.
    Laid(Layout),
    /// A process of the instance begins: what an earlier one proposes or told late is void from here on, and
    /// all that was told before counts. Processes are numbered upwards.
    Started { by: InstanceId, process: u64 },
    /// An instance that was lost can be reached again.
    Joined(InstanceId),
    /// An instance can't be reached. Its cohorts are to be served by others.
    Lost(InstanceId),
    /// A broadcast that a client handed in at an instance, as its so-numbered attempt; counts once.
    Taken {
        by: InstanceId,
        process: u64,
        number: u64,
        broadcast: Broadcast,
    },
    /// That attempt counts no more, if it did not before: its client may be told so.
    Barred {
        by: InstanceId,
        process: u64,
        number: u64,
    },
    /// The instance asks for copies. It noted the time on its own clock when it asked under that number.
    Spread {
        by: InstanceId,
        process: u64,
        ticket: u64,
    },
    /// Copies that ended at the instance.
    Ended {
        by: InstanceId,
        process: u64,
        ends: Vec<CopyEnd>,
    },
    /// Copies that have had calls for so long, and go on; told once for each.
    StillOut {
        by: InstanceId,
        process: u64,
        copies: Vec<(Subscriber, Position, Ms)>,
    },
    /// The subscriber is parked or cold at the instance, or no longer: it is not slow for that.
    Rests {
        by: InstanceId,
        subscriber: Subscriber,
        rests: bool,
    },
    /// Too little is left of these broadcasts' patience: what of them was not handed in, and so has surely not
    /// run, is dismissed.
    TimeUp(Vec<Position>),
    /// The subscriber goes to another cohort. Void if it is no longer in `from`.
    Moved {
        subscriber: Subscriber,
        from: Cohort,
        to: Cohort,
    },
    /// The cohort is served by another instance. Void if it changed hands since `epoch`.
    Served {
        cohort: Cohort,
        epoch: u64,
        by: InstanceId,
    },
    /// All that the instance held when it was lost for the `time`th time has surely ended there.
    GivenUp { instance: InstanceId, time: u64 },
    /// A second has passed at the instance that leads.
    Tick,
}

impl Command {
    /// The instance that says it of itself; none if it is the leader's to say.
    pub fn by(&self) -> Option<InstanceId> {
        match self {
            Command::Started { by, .. }
            | Command::Taken { by, .. }
            | Command::Barred { by, .. }
            | Command::Spread { by, .. }
            | Command::Ended { by, .. }
            | Command::StillOut { by, .. }
            | Command::Rests { by, .. } => Some(*by),
            _ => None,
        }
    }

    /// Bytes for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None if the bytes are no command.
    pub fn from_bytes(bytes: &[u8]) -> Option<Command> {
        postcard::from_bytes(bytes).ok()
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    pub lists: Vec<(ListName, Vec<Subscriber>)>,
    /// Cohorts for subscribers that keep up, numbered from 0.
    pub cohorts: u32,
    /// Cohorts for slow ones, numbered on from there.
    pub slow_cohorts: u32,
    pub bounds: Bounds,
}

/// The fields of an event, which apply to each copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Broadcast {
    pub id: BroadcastId,
    pub list: ListName,
    /// The traffic type's name.
    pub traffic: String,
    /// On the system clock of the instance that took it, in ms.
    pub at: Ms,
    pub patience: Ms,
    pub key: Option<u64>,
    pub fingerprint: Option<String>,
    pub body: Vec<u8>,
}

/// How a copy ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Completed,
    Rejected,
    Abandoned,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CopyEnd {
    pub subscriber: Subscriber,
    pub position: Position,
    pub outcome: Outcome,
    /// From when it was handed in to its first call: the forwarder's part of the lag.
    pub waited: Ms,
    /// From its first call to its end: the subscriber's part.
    pub own: Ms,
}

/// What an instance is told when a command was applied. All instances hear all of it.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    Taken {
        by: InstanceId,
        process: u64,
        number: u64,
        position: Position,
    },
    Refused {
        by: InstanceId,
        process: u64,
        number: u64,
        why: Rejection,
    },
    /// The instance is to hand the copy to its module, or, where an end is told, to tell that end.
    Hand {
        to: InstanceId,
        ticket: Option<u64>,
        subscriber: Subscriber,
        position: Position,
        end: Option<Outcome>,
    },
    /// Each copy has its end: how many completed, were dismissed, were written off.
    AllEnded {
        id: BroadcastId,
        position: Position,
        outcomes: [u32; 3],
    },
    /// The subscriber is served by that instance alone from now on.
    Settled {
        subscriber: Subscriber,
        by: InstanceId,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    NoSuchList,
    /// Its id is too long or has the form that only copies' ids have.
    BadId,
    /// One of that id is kept, or was lately.
    Known,
    /// A bound is reached.
    Full,
    /// The log did not hear of it in time.
    Late,
}
