//! What the decision module keeps between rounds. Nothing is decided here and no value is tuned.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::interface::*;

/// A time that can be sorted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Moment(pub(crate) Ms);

impl Eq for Moment {}

/// Never.
impl Default for Moment {
    fn default() -> Self {
        Moment(f64::INFINITY)
    }
}

impl Ord for Moment {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Moment {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A sum that fades with a given time constant, brought up to date when it is read.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Fading {
    sum: f64,
    at: Ms,
}

impl Fading {
    pub(crate) fn read(&self, now: Ms, constant: Ms) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / constant).exp()
    }
    pub(crate) fn add(&mut self, now: Ms, constant: Ms, amount: f64) {
        (self.sum, self.at) = (self.read(now, constant) + amount, now);
    }
}

/// Answers and the time that they took.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct AnswerTimes {
    count: Fading,
    time: Fading,
}

impl AnswerTimes {
    /// The time that they took in all, and their number.
    pub(crate) fn read(&self, now: Ms, constant: Ms) -> (Ms, f64) {
        (
            self.time.read(now, constant),
            self.count.read(now, constant),
        )
    }
    pub(crate) fn add(&mut self, now: Ms, constant: Ms, took: Ms) {
        self.count.add(now, constant, 1.0);
        self.time.add(now, constant, took);
    }
}

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Event {
    pub(crate) id: EventId,
    pub(crate) traffic: TrafficTypeId,
    pub(crate) key: Option<OrderKey>,
    pub(crate) patience_ends: Ms,
    pub(crate) over_share: bool, // its member had used up its share
    pub(crate) sends: u32,
    #[serde(default)]
    pub(crate) untried: bool, // a restart found it taken on, with no call yet
    pub(crate) call: Option<u64>,
    pub(crate) not_before: Ms,
    pub(crate) may_have_run: Option<(Ms, ZoneId)>, // when and where the first send went that may have run
    pub(crate) over: bool, // answered, and kept only until its send has ended
    pub(crate) unheard: bool, // the notice of its end has not been heard yet
}

impl Event {
    /// Neither answered nor out.
    pub(crate) fn is_held(&self) -> bool {
        !self.over && self.call.is_none()
    }
}

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct KeyLine {
    pub(crate) queue: VecDeque<(u64, DestinationId)>,
    pub(crate) rests_until: Ms,
}

pub(crate) type Keys = HashMap<OrderKey, KeyLine>;

#[derive(Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) target: TargetId,
    pub(crate) sent: Ms,
    pub(crate) members: usize,
    pub(crate) judged: bool,
    pub(crate) doubtful: bool,
    pub(crate) reuses: bool, // a connection that had been idle for some time
}

#[derive(Serialize, Deserialize)]
pub(crate) struct Target {
    pub(crate) id: TargetId,
    pub(crate) zone: ZoneId,
    pub(crate) listing: EndpointState,
    pub(crate) failures: i32,
    pub(crate) shunned_until: Ms,
    pub(crate) out: usize,             // calls of ours
    pub(crate) idle_since: Option<Ms>, // connections that no call uses may still be open
}

impl Target {
    pub(crate) fn new(id: TargetId, zone: ZoneId, listing: EndpointState) -> Self {
        Target {
            id,
            zone,
            listing,
            failures: 0,
            shunned_until: 0.0,
            out: 0,
            idle_since: None,
        }
    }
}

/// What a kind of destination has shown of late.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct KindCounts {
    pub(crate) answered: Fading,
    pub(crate) full: Fading,        // calls refused
    pub(crate) unconnected: Fading, // connections refused by destinations that were well
}

/// What shares one limit, one health and one wait: a destination, or one of its routes where they are apart.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Lane {
    pub(crate) targets: Vec<Target>,
    pub(crate) failures: i32,
    pub(crate) offline: bool,
    pub(crate) ping_at: Ms,
    pub(crate) ping_out: bool,
    pub(crate) closed_until: Ms, // the end of a wait that was told
    pub(crate) held_until: Ms,   // the end of a pause of ours
    pub(crate) refusals: i32,    // refused calls in a row, those sent before the last one aside
    pub(crate) refused_at: Ms,
    pub(crate) shut_signs: i32, // refusals in a row that no used up limit explains
    pub(crate) answered_at: Ms,
    pub(crate) delivered_at: Ms,
    pub(crate) unconnected_at: Option<Ms>, // a connection was refused
    pub(crate) cold_since: Option<Ms>,
    pub(crate) noted_cold: Ms, // what the host was last told of that
    pub(crate) trust: f64, // multiplies the cold budget: one and up, with answers at the usual pace
    pub(crate) pace: Option<(f64, Ms)>, // calls a second after a refusal, and when it was set
    pub(crate) next_slot: Ms, // when the paced budget has room again
    pub(crate) sent: Fading,
    pub(crate) burst: Fading,
    pub(crate) answers: AnswerTimes,
}

/// A lane of its destination, and the place of a target in it.
pub(crate) type Spot = (usize, usize);

/// In doubt, calls out, and when it last had a turn: the least is next.
pub(crate) type Turn = (bool, usize, u64);

/// None of its events can go now, how many are held, and when the next can: the most gives way first.
pub(crate) type Backlog = (bool, usize, Moment);

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Destination {
    pub(crate) kind: DestinationKindId,
    pub(crate) lanes: Vec<Lane>,
    pub(crate) events: BTreeMap<u64, Event>, // in the order taken
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) told_rate: f64, // calls a second that the list says it takes; 0 if it does not
    pub(crate) offered: Fading, // events
    pub(crate) called: Fading, // calls, of one event or several
    pub(crate) turn: u64,
    pub(crate) noted: (f64, Ms), // what usually went to each lane a second before it was cold, and when that was
    pub(crate) bare_since: Option<Ms>, // nothing is held for it and no target listed
    pub(crate) filed: (Moment, Backlog, Option<Turn>), // its places in the three rosters
}

impl Destination {
    pub(crate) fn held(&self) -> usize {
        self.events.values().filter(|event| event.is_held()).count()
    }
    pub(crate) fn running_lanes(&self) -> f64 {
        self.lanes.iter().filter(|lane| lane.runs()).count().max(1) as f64
    }
    pub(crate) fn lane_of(&self, id: &TargetId) -> Option<usize> {
        self.lanes.iter().position(|lane| lane.target(id).is_some())
    }
    pub(crate) fn target_mut(&mut self, id: &TargetId) -> Option<&mut Target> {
        self.lanes.iter_mut().find_map(|lane| lane.target_mut(id))
    }
}

impl Lane {
    pub(crate) fn target(&self, id: &TargetId) -> Option<&Target> {
        self.targets.iter().find(|target| target.id == *id)
    }
    pub(crate) fn target_mut(&mut self, id: &TargetId) -> Option<&mut Target> {
        self.targets.iter_mut().find(|target| target.id == *id)
    }
    pub(crate) fn runs(&self) -> bool {
        self.running().next().is_some()
    }
    pub(crate) fn running(&self) -> impl Iterator<Item = &Target> {
        self.targets
            .iter()
            .filter(|target| target.listing == EndpointState::Running)
    }
}
