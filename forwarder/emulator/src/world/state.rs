//! What forwarders hold and what is on its way: plain data that the files beside this one work on.

use plankhill_decisions::interface::{AttemptOutcome, Ms};
use rustc_hash::{FxHashMap, FxHashSet};

use super::CallKey;
use crate::clients::ClientEvent;
use crate::deciders::{Decider, EventKey, Input};

/// An event that a forwarder has taken on.
pub(super) struct Event {
    pub client_event: ClientEvent,
    /// In the order taken, over all forwarders.
    pub number: u64,
    pub forwarder: u32,
    pub sends: u32,
    pub sent_at: Ms,
    pub may_have_run: Option<(Ms, usize)>,
    pub out: Option<CallKey>,
    pub ended: bool,
    /// Its end goes by a notice that was not heard yet: dismissed, with a time to come back.
    pub unacknowledged: Option<(bool, Option<Ms>)>,
}

pub(super) enum Incoming {
    HandIn(ClientEvent),
    /// With the lane of the call that it is about, and whether that call was written.
    Input(Input, Option<(u32, bool)>),
}

pub(super) struct Forwarder {
    pub decider: Option<Box<dyn Decider>>,
    pub zone: usize,
    /// Counts its processes.
    pub incarnation: u32,
    pub inbox: Vec<Incoming>,
    pub iteration_scheduled: bool,
    pub last_iteration: Ms,
    pub next_wake_up: Ms,
    pub stalled_until: Ms,
    pub died_at: Option<Ms>,
    /// Asked to end: since when, and by when.
    pub closing: Option<(Ms, Ms)>,
    /// How much of the list's changes it has heard.
    pub heard: usize,
    /// What a partial hearing left out.
    pub missed: Vec<u32>,
    pub list_update_scheduled: bool,
    pub list_frozen_until: Ms,
    /// Destinations that its decisions were told of.
    pub introduced: FxHashSet<u32>,
    pub held: usize,
    pub idle: FxHashMap<u32, Vec<IdleConnection>>,
    /// Targets whose lane was cold, for its next life.
    pub cold: FxHashMap<u32, (Ms, f64)>,
}

/// An event aboard a call, with what its effect is known by: the event itself may be over before.
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
    /// The target has dropped it, unseen.
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
    /// On a connection that stood idle before.
    pub reused: bool,
    /// The target had dropped that connection.
    pub dropped: bool,
    /// The forwarder does not wait for it any more.
    pub abandoned_by_sender: bool,
    /// The target has it: in its queue or being served.
    pub there: bool,
    pub served: bool,
    /// It met an outage.
    pub in_outage: bool,
    /// How it will be answered, and the wait told with that.
    pub fate: AttemptOutcome,
    pub wait: Ms,
    /// It is never answered.
    pub never_answered: bool,
    /// Multiplies what a target takes.
    pub work: f64,
}
