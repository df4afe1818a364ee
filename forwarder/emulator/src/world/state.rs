//! The state of events, forwarders, connections and calls: plain data that the files beside this
//! one change.

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
    /// The completion goes by a notification that is not acknowledged yet: whether the event is
    /// rejected, and the retry-after.
    pub unacknowledged: Option<(bool, Option<Ms>)>,
}

pub(super) enum Incoming {
    HandIn(ClientEvent),
    /// With the lane of the call that the input is about, and whether that call was written.
    Input(Input, Option<(u32, bool)>),
}

pub(super) struct Forwarder {
    pub decider: Option<Box<dyn Decider>>,
    pub zone: usize,
    /// The number of processes that the forwarder had before.
    pub incarnation: u32,
    pub inbox: Vec<Incoming>,
    pub iteration_scheduled: bool,
    pub last_iteration: Ms,
    pub next_wake_up: Ms,
    pub stalled_until: Ms,
    pub died_at: Option<Ms>,
    /// Shutting down: since when, and by when.
    pub closing: Option<(Ms, Ms)>,
    /// How many of the endpoint list's changes the forwarder knows.
    pub heard: usize,
    /// Changes that a partial update left out.
    pub missed: Vec<u32>,
    pub list_update_scheduled: bool,
    pub list_frozen_until: Ms,
    /// Destinations that the decider knows.
    pub introduced: FxHashSet<u32>,
    pub pending_events: usize,
    pub idle: FxHashMap<u32, Vec<IdleConnection>>,
    /// Targets whose lane warms up, for the next process.
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
    /// The connection had been idle.
    pub reused: bool,
    /// The target had dropped that connection.
    pub dropped: bool,
    /// The forwarder does not wait for the call any more.
    pub abandoned_by_sender: bool,
    /// The call is in the target's queue or in service.
    pub there: bool,
    pub served: bool,
    /// The call met an outage.
    pub in_outage: bool,
    /// The outcome that the answer will have; `wait` is the retry-after with it.
    pub outcome: AttemptOutcome,
    pub wait: Ms,
    /// The target never answers the call.
    pub never_answered: bool,
    /// Multiplies the target's service time.
    pub work: f64,
}
