//! What is held of a subscriber, and the figures that it rests on.

use plankhill_decisions::interface::Ms;
use serde::{Deserialize, Serialize};

use crate::names::*;
use crate::state::FanoutState;

/// A verdict says on which figures it rests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Where they were measured.
    pub at: InstanceId,
    /// Votes that count; a vote is what was seen of the subscriber in one batch.
    pub votes: f64,
    /// The share of them that were late.
    pub late: f64,
    /// The subscriber's mean from first call to end.
    pub own: Ms,
    /// The median of its cohort's subscribers, if they are known.
    pub cohort: Option<Ms>,
    /// The median over the other cohorts' medians, if there are any.
    pub others: Option<Ms>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum Judged {
    #[default]
    KeepsUp,
    /// Slow, wherever it was served.
    Slow(Figures),
    /// Slow at that instance, and at once not so at another: the route between them is.
    Route(Figures),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    pub(crate) judged: Judged,
    pub(crate) since: u64,
    /// For so many ticks it has been as good as the rest.
    pub(crate) good: u64,
    /// How often it was slow again: each time it has to be good for longer.
    pub(crate) relapses: u32,
    /// Seen at an instance other than the one it was slow at: the blame is settled.
    pub(crate) confirmed: bool,
}

impl FanoutState {
    pub fn judged(&self, subscriber: Subscriber) -> Judged {
        self.followers
            .get(&subscriber)
            .map(|f| f.verdict.judged)
            .unwrap_or_default()
    }

    /// All whose verdict is another than that they keep up.
    pub fn verdicts(&self) -> impl Iterator<Item = (Subscriber, Judged)> + '_ {
        let all = self.followers.iter().map(|(s, f)| (*s, f.verdict.judged));
        all.filter(|(_, judged)| *judged != Judged::KeepsUp)
    }

    /// The instance's own batches: how many count, the share in which it was at fault, the mean wait for a
    /// first call; and whether it is held to be at fault.
    pub fn at_fault(&self, instance: InstanceId) -> Option<(f64, f64, Ms, bool)> {
        let i = self.instances.get(&instance)?;
        Some((i.votes.seen(), i.votes.late(), i.votes.waited(), i.at_fault))
    }
}
