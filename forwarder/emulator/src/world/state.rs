//! The state of events, forwarders, connections and calls: plain data that the other modules change.

use plankhill_decisions::interface::{AttemptOutcome, Ms};
use rustc_hash::{FxHashMap, FxHashSet};

use super::CallKey;
use crate::clients::ClientEvent;
use crate::deciders::{Decider, EventKey, Input};

/// An event that a forwarder has accepted.
pub(super) struct Event {
    pub client_event: ClientEvent,
    /// The order of acceptance, over all forwarders.
    pub number: u64,
    pub forwarder: u32,
    pub attempts: u32,
    pub sent_at: Ms,
    pub may_have_run: Option<(Ms, usize)>,
    pub out: Option<CallKey>,
    pub ended: bool,
    /// Set while the notification of the completion is not acknowledged: whether the event is rejected,
    /// and the retry-after.
    pub unacknowledged: Option<(bool, Option<Ms>)>,
}

pub(super) enum Incoming {
    Submission(ClientEvent),
    /// An input of the decider, with the lane of the call that it concerns and whether that call was
    /// written.
    Input(Input, Option<(u32, bool)>),
}

pub(super) struct Forwarder {
    pub decider: Option<Box<dyn Decider>>,
    pub zone: usize,
    /// The number of earlier processes of the forwarder.
    pub incarnation: u32,
    pub inbox: Vec<Incoming>,
    pub iteration_scheduled: bool,
    pub last_iteration: Ms,
    pub next_wake_up: Ms,
    pub stalled_until: Ms,
    pub died_at: Option<Ms>,
    /// Start and deadline of the shutdown, while shutting down.
    pub closing: Option<(Ms, Ms)>,
    /// The number of the endpoint list's changes that the forwarder has received.
    pub known_changes: usize,
    /// Changes that a partial update left out.
    pub missed: Vec<u32>,
    pub list_update_scheduled: bool,
    pub list_frozen_until: Ms,
    /// Destinations that were introduced to the decider.
    pub introduced: FxHashSet<u32>,
    pub pending_events: usize,
    pub idle: FxHashMap<u32, Vec<IdleConnection>>,
    /// Targets whose lane is warming up, recorded for the next process.
    pub cold: FxHashMap<u32, (Ms, f64)>,
}

/// An event of a call, with its effect's id: the event itself may be complete before the call ends.
#[derive(Clone, Copy)]
pub(super) struct Member {
    pub event: EventKey,
    pub number: u64,
    pub origin: u64,
    pub traffic: u8,
}

/// A connection that no call uses.
pub(super) struct IdleConnection {
    pub since: Ms,
    /// The target has dropped the connection without notice.
    pub dropped: bool,
}

pub(super) struct Call {
    pub forwarder: u32,
    pub incarnation: u32,
    pub target: u32,
    pub lane: u32,
    pub is_health_check: bool,
    pub members: Vec<Member>,
    pub began: Ms,
    pub written: bool,
    /// The call uses a connection that had been idle.
    pub reused: bool,
    /// The target had dropped the reused connection.
    pub dropped: bool,
    /// The forwarder no longer waits for the call.
    pub abandoned_by_sender: bool,
    /// The call is in the target's queue or in service.
    pub is_at_target: bool,
    pub served: bool,
    /// The call reached the target during an outage.
    pub in_outage: bool,
    /// The outcome that the response will report; `wait` is its retry-after.
    pub outcome: AttemptOutcome,
    pub wait: Ms,
    /// The target never answers the call.
    pub never_answered: bool,
    /// Multiplies the target's service time.
    pub work: f64,
}
