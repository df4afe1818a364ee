//! Verdicts on subscribers, and the figures on which they are based.

use plankhill_decisions::interface::Ms;
use serde::{Deserialize, Serialize};

use crate::names::*;
use crate::state::FanoutState;

/// The figures on which a verdict is based.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// The instance at which they were measured.
    pub at: InstanceId,
    /// The number of votes that count; a vote is the result of one batch for the subscriber.
    pub votes: f64,
    /// The share of late votes.
    pub late: f64,
    /// The subscriber's mean time from the first call to the end of a copy.
    pub own: Ms,
    /// The median over the cohort's subscribers, if known.
    pub cohort: Option<Ms>,
    /// The median over the other cohorts' medians, if there are any.
    pub others: Option<Ms>,
}

/// The verdict on a subscriber.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum Judged {
    #[default]
    KeepsUp,
    /// Slow at each instance that served it.
    Slow(Figures),
    /// Slow at that instance but, by the first votes at another one, not there: the route to that instance is
    /// at fault.
    Route(Figures),
}

/// The verdict on a subscriber, with what later changes of it depend on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    pub(crate) judged: Judged,
    pub(crate) since: u64,
    /// Consecutive ticks at which the share of late votes was low enough for a recovery.
    pub(crate) good_ticks: u64,
    /// Number of recoveries so far; the next one has to last longer.
    pub(crate) recoveries: u32,
    /// Whether it was judged at an instance other than the one where it was slow, which settles whether the
    /// route is at fault.
    pub(crate) confirmed: bool,
}

impl FanoutState {
    /// The current verdict on the subscriber.
    pub fn judged(&self, subscriber: Subscriber) -> Judged {
        self.subscribers
            .get(&subscriber)
            .map(|f| f.verdict.judged)
            .unwrap_or_default()
    }

    /// Subscribers with any other verdict than [`Judged::KeepsUp`].
    pub fn verdicts(&self) -> impl Iterator<Item = (Subscriber, Judged)> + '_ {
        let all = self.subscribers.iter().map(|(s, f)| (*s, f.verdict.judged));
        all.filter(|(_, judged)| *judged != Judged::KeepsUp)
    }

    /// The batches of the instance: how many count, the share in which it was at fault, and the mean wait for
    /// a first call; and whether the instance is currently judged to be at fault.
    pub fn at_fault(&self, instance: InstanceId) -> Option<(f64, f64, Ms, bool)> {
        let i = self.instances.get(&instance)?;
        Some((
            i.votes.count(),
            i.votes.late_share(),
            i.votes.mean_wait(),
            i.at_fault,
        ))
    }
}
