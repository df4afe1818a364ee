//! The names that a host and the decision module share: ids, what is known at the start, how a send
//! can end, and the writer that takes the decisions. Nothing is decided here.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Milliseconds with fractions, on the clock of the host.
pub type Ms = f64;

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EventId(pub Rc<str>);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetId(pub Rc<str>);

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DestinationId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderKey(pub u64);

/// Position in [`Terms::traffic`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficId(pub usize);

/// Position in [`Terms::kinds`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindId(pub usize);

/// Position in the host's list of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneId(pub usize);

impl ZoneId {
    /// Where nobody knows: no listed zone is the same.
    pub const UNKNOWN: ZoneId = ZoneId(usize::MAX);
}

/// What a repeat of an event does at its destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Retriable,
    Fingerprinted { window: Ms, one_zone: bool },
    Binding,
}

impl Effect {
    /// Once it may have run, it may only go where its first send went.
    pub fn stays_in_zone(self) -> bool {
        matches!(self, Effect::Fingerprinted { one_zone: true, .. })
    }
}

#[derive(Clone, Debug)]
pub struct TrafficType {
    pub effect: Effect,
    pub soft_limit: Ms,
    pub patience: Ms,
    pub payoff: f64,
    pub payoff_at_end: f64,
    pub ordered: bool,
}

#[derive(Clone, Debug)]
pub struct DestinationKind {
    pub routes_apart: bool,
    pub events_per_call: usize,
}

/// The first pause before an event goes again, by how its send ended. It doubles with the sends.
#[derive(Clone, Copy, Debug)]
pub struct RetryPauses {
    /// After a failure.
    pub failed: Ms,
    /// After a refusal.
    pub refused: Ms,
    /// After a send of which nothing left.
    pub unsent: Ms,
}

impl RetryPauses {
    pub fn after(&self, fate: Fate) -> Ms {
        match fate {
            Fate::Full => self.refused,
            Fate::NoConnection | Fate::NotSent => self.unsent,
            _ => self.failed,
        }
    }
}

/// Where deployments of the module differ. The default is that of the forwarder of events.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    pub pauses: RetryPauses,
    /// Calls are spaced after refusals and while a lane is cold. Off where targets queue and refuse for
    /// themselves and a refusal costs nothing: only waits that were told hold a lane then.
    pub spaced: bool,
    /// An offline lane is released by a ping alone, not by the answer to a call that was still out.
    pub released_by_pings: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        let pauses = RetryPauses {
            failed: 500.0,
            refused: 250.0,
            unsent: 500.0,
        };
        Tuning {
            pauses,
            spaced: true,
            released_by_pings: false,
        }
    }
}

impl Tuning {
    /// The most that the first spread after a refusal is, before it grows with the refusals in a row.
    pub fn widest_spread(&self) -> Ms {
        if self.spaced {
            1000.0
        } else {
            0.0
        }
    }
}

/// What a forwarder is told once, at its start.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub seed: u64,
    pub instance: u64,
    pub forwarders: f64,
    pub traffic: Vec<TrafficType>,
    pub kinds: Vec<DestinationKind>,
    pub slots: usize,
    pub room: usize,
    pub sends_cap: u32,
    pub pings_allowed: bool,
    pub longest_advice: Option<Ms>,
    /// Events a second that each member may ask of all forwarders together; none where there are no members.
    pub shares: Vec<f64>,
    /// What an event beyond its member's share is worth, of the usual.
    pub over_share_worth: f64,
    pub cold_share: f64,
    pub warm_after: Ms,
    pub tip_multiple: f64,
    pub key_rest: Ms,
    pub tuning: Tuning,
}

/// How the list speaks of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    Running,
    Leaving,
    Gone,
}

/// How a send or a ping ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    Delivered,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    NotSent,
}

impl Fate {
    /// Whether a send that ended so, undelivered, may have had its effect.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Fate::Error | Fate::TimedOut | Fate::Reset | Fate::Cancelled
        )
    }
}

/// How a send ended, and what its answer said.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Ended {
    pub fate: Fate,
    pub took: Ms,
    /// The event is over, by this answer or earlier.
    pub over: bool,
    /// How long to wait; 0 if nothing was told.
    pub wait: Ms,
    /// The share of its limit that the target reports as left; what is no share reports nothing.
    pub left: Option<f64>,
}

impl Ended {
    /// With nothing else said, and no time known.
    pub fn plain(fate: Fate) -> Self {
        Ended {
            fate,
            took: 0.0,
            over: fate == Fate::Delivered,
            wait: 0.0,
            left: None,
        }
    }
}

/// A host named something that it never introduced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown(pub &'static str);
pub type Known = Result<(), Unknown>;

/// Takes the decisions of one round, in the order in which they are to run.
pub trait Decisions {
    /// The place among the targets that take the event now of the one that is to have it. None leaves it to
    /// the draw of two.
    fn choose(&mut self, _: &EventId, _: &mut dyn Iterator<Item = &TargetId>) -> Option<usize> {
        None
    }
    /// The call's last byte has to have left by `leaves_by`, or none of it may leave: it ends as not sent then.
    /// That is a time on the clock of the host, infinite where nothing bounds it.
    fn send(&mut self, event: &EventId, target: &TargetId, time_out: Ms, leaves_by: Ms);
    /// True if the end goes as a notice: `Forwarder::heard` follows once that was heard.
    fn dismiss(&mut self, event: &EventId, come_back_after: Option<Ms>) -> bool;
    /// True as for `dismiss`.
    fn write_off(&mut self, event: &EventId) -> bool;
    fn ping(&mut self, target: &TargetId);
    /// Closes the connections to the target that no call uses.
    fn close_idle(&mut self, target: &TargetId);
    /// Calls to the target of which nothing is written yet are not to be written: they end as not sent.
    fn take_back(&mut self, target: &TargetId);
    /// The target's lane is cold since then, and so much usually goes there a second: to be told to
    /// `Forwarder::was_cold` after a restart.
    fn note_cold(&mut self, target: &TargetId, since: Ms, usual: f64);
    fn wake_after(&mut self, pause: Ms);
}
