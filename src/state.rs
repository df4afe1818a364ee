//! What the decision module keeps between rounds. Nothing is decided here and no value is tuned.

use std::collections::VecDeque;

use crate::interface::*;

/// What shares one limit, one health and one wait: a destination, or one of its routes where they are apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LaneId {
    Destination(DestinationId),
    Route(TargetId),
}

/// A sum that fades with a given time constant, brought up to date when it is read.
#[derive(Default)]
pub(crate) struct Fading {
    pub(crate) sum: f64,
    pub(crate) at: Ms,
}

impl Fading {
    pub(crate) fn read(&mut self, now: Ms, constant: Ms) -> f64 {
        self.sum *= (-(now - self.at).max(0.0) / constant).exp();
        self.at = now;
        self.sum
    }
    pub(crate) fn add(&mut self, now: Ms, constant: Ms, amount: f64) {
        self.sum = self.read(now, constant) + amount;
    }
}

#[derive(Default)]
pub(crate) struct Event {
    pub(crate) id: EventId,
    pub(crate) destination: DestinationId,
    pub(crate) traffic: TrafficId,
    pub(crate) key: Option<OrderKey>,
    pub(crate) patience_ends: Ms,
    pub(crate) sends: u32,
    pub(crate) call: Option<u64>,
    pub(crate) not_before: Ms,
    pub(crate) failures: i32,
    pub(crate) may_have_run: Option<(Ms, ZoneId)>, // when and where the first send went that may have run
    pub(crate) hopeless: bool,
    pub(crate) over: bool, // answered, and kept only until its send has ended
}

impl Event {
    /// Neither answered nor out.
    pub(crate) fn is_held(&self) -> bool {
        !self.over && self.call.is_none()
    }
}

#[derive(Default)]
pub(crate) struct KeyLine {
    pub(crate) queue: VecDeque<u64>,
    pub(crate) rests_until: Ms,
}

pub(crate) struct Call {
    pub(crate) lane: LaneId,
    pub(crate) target: TargetId,
    pub(crate) sent: Ms,
    pub(crate) members: usize,
    pub(crate) judged: bool,
}

pub(crate) struct Target {
    pub(crate) destination: DestinationId,
    pub(crate) lane: LaneId,
    pub(crate) zone: ZoneId,
    pub(crate) kind: KindId,
    pub(crate) listing: Listing,
    pub(crate) failures: i32,
    pub(crate) shunned_until: Ms,
}

#[derive(Default)]
pub(crate) struct Lane {
    pub(crate) failures: i32,
    pub(crate) offline: bool,
    pub(crate) ping_at: Ms,
    pub(crate) ping_out: bool,
    pub(crate) closed_until: Ms, // the end of a wait that was told
    pub(crate) held_until: Ms,   // the end of a pause of ours
    pub(crate) refusals: i32,    // refused calls in a row, those sent before the last one aside
    pub(crate) refused_at: Ms,
    pub(crate) answered_at: Ms,
    pub(crate) delivered_at: Ms,
    pub(crate) good: Fading,
    pub(crate) failed: Fading,
    pub(crate) cold_since: Option<Ms>,
    pub(crate) trust: f64, // multiplies the cold budget: one and up, with answers at the usual pace
    pub(crate) pace: Option<(f64, Ms)>, // calls a second after a refusal, and when it was set
    pub(crate) next_slot: Ms, // when the paced budget has room again
    pub(crate) sent: Fading,
    pub(crate) answers: Fading,
    pub(crate) answer_time: Fading,
}

#[derive(Default)]
pub(crate) struct Destination {
    pub(crate) targets: Vec<TargetId>,
    pub(crate) offered: Fading,
    pub(crate) usual: Option<f64>, // its usual traffic, kept as it was when a lane of it went down or cold
    pub(crate) stated: f64,        // events a second for this forwarder, where the list states a limit
    pub(crate) turn: u64,
}
