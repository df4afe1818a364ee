//! The commands of the log, and the effects of applying them. A command that no longer fits the state changes
//! nothing: it may have been proposed twice, late, or by an instance that was replaced meanwhile.

use plankhill_decisions::interface::Ms;
use serde::{Deserialize, Serialize};

use crate::bounds::Bounds;
use crate::names::*;

/// A command of the control group's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The fleet file's layout; replaces the previous one.
    Laid(Layout),
    /// A new process of the instance starts: commands of earlier processes have no effect from here on, and
    /// those that were applied before count. Process numbers increase.
    Started { by: InstanceId, process: u64 },
    /// A lost instance is reachable again.
    Joined(InstanceId),
    /// An instance is unreachable. Its cohorts are to be served by others.
    Lost(InstanceId),
    /// A broadcast that a client submitted at an instance, as the submission with this number; counts once.
    Taken {
        by: InstanceId,
        process: u64,
        number: u64,
        broadcast: Broadcast,
    },
    /// The submission with this number is rejected, unless it was accepted before; its client may then be
    /// answered with the rejection.
    Barred {
        by: InstanceId,
        process: u64,
        number: u64,
    },
    /// The instance requests copies. Under the number `ticket` it has recorded the time of the request on its
    /// own clock.
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
    /// Copies still in flight, each with the time since its first call; reported once for each.
    StillOut {
        by: InstanceId,
        process: u64,
        copies: Vec<(Subscriber, Position, Ms)>,
    },
    /// The subscriber is parked or cold at the instance, so that its lag there is no sign of slowness; or no
    /// longer is, if `rests` is false.
    Rests {
        by: InstanceId,
        subscriber: Subscriber,
        rests: bool,
    },
    /// Too little is left of these broadcasts' patience: their copies that were not handed to an instance,
    /// and so have surely not run, are rejected.
    TimeUp(Vec<Position>),
    /// The subscriber moves to another cohort. No effect if it is no longer in `from`.
    Moved {
        subscriber: Subscriber,
        from: Cohort,
        to: Cohort,
    },
    /// The cohort is served by another instance. No effect if it was assigned to one since `epoch`.
    Served {
        cohort: Cohort,
        epoch: u64,
        by: InstanceId,
    },
    /// Every copy that the instance had when it was lost for the `time`th time has surely ended there.
    GivenUp { instance: InstanceId, time: u64 },
    /// A second has passed on the clock of the leader.
    Tick,
}

impl Command {
    /// The instance that reports the command about itself; `None` if the command is proposed by the leader.
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

    /// `None` if the bytes are not a command.
    pub fn from_bytes(bytes: &[u8]) -> Option<Command> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The lists, cohorts and bounds of the fleet file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    pub lists: Vec<(ListName, Vec<Subscriber>)>,
    /// Number of cohorts for subscribers that keep up; their ids start at 0.
    pub cohorts: u32,
    /// Number of cohorts for slow subscribers; their ids follow.
    pub slow_cohorts: u32,
    pub bounds: Bounds,
}

/// A broadcast: the fields of an event, which apply to each copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Broadcast {
    pub id: BroadcastId,
    pub list: ListName,
    /// The traffic type's name.
    pub traffic: String,
    /// When it was accepted, in ms on the system clock of the instance that accepted it.
    pub at: Ms,
    pub patience: Ms,
    pub key: Option<u64>,
    pub fingerprint: Option<String>,
    pub body: Vec<u8>,
}

/// The outcome of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Completed,
    Rejected,
    Abandoned,
}

/// The end of a copy, as its instance reports it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CopyEnd {
    pub subscriber: Subscriber,
    pub position: Position,
    pub outcome: Outcome,
    /// From its submission to its first call: the forwarder's part of the lag.
    pub waited: Ms,
    /// From its first call to its end: the subscriber's part.
    pub own: Ms,
}

/// An effect of applying a command. All instances get all effects.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Accepted {
        by: InstanceId,
        process: u64,
        number: u64,
        position: Position,
    },
    Rejected {
        by: InstanceId,
        process: u64,
        number: u64,
        reason: Rejection,
    },
    /// The copy is assigned to the instance `to`, which submits it to its decision module or, with an `end`,
    /// reports that outcome.
    Assigned {
        to: InstanceId,
        ticket: Option<u64>,
        subscriber: Subscriber,
        position: Position,
        end: Option<Outcome>,
    },
    /// Every copy has ended: how many completed, were rejected and were abandoned.
    BroadcastCompleted {
        id: BroadcastId,
        position: Position,
        outcomes: [u32; 3],
    },
    /// From now on the subscriber is served by this instance alone.
    MoveCompleted {
        subscriber: Subscriber,
        by: InstanceId,
    },
}

/// Why a broadcast is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    NoSuchList,
    /// The id is empty or too long.
    BadId,
    /// A broadcast with that id is pending, or was completed recently.
    Known,
    /// A bound is reached.
    Full,
    /// The log did not accept the submission in time.
    Late,
}
