//! What the log's commands have made so far; the same on every instance that has applied as many.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::bounds::Bounds;
use crate::command::{Broadcast, Layout, Outcome};
use crate::instances::Instance;
use crate::names::*;
use crate::sums::Votes;
use crate::verdict::Verdict;

/// Ids of broadcasts that are over are remembered, so many: a copy of one is refused.
pub(crate) const REMEMBERED: usize = 8192;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FanoutState {
    pub(crate) bounds: Bounds,
    pub(crate) lists: BTreeMap<ListName, Vec<Subscriber>>,
    pub(crate) cohorts: BTreeMap<Cohort, CohortState>,
    pub(crate) instances: BTreeMap<InstanceId, Instance>,
    pub(crate) followers: BTreeMap<Subscriber, Follower>,
    pub(crate) kept: BTreeMap<Position, Kept>,
    pub(crate) known: BTreeMap<BroadcastId, Position>,
    pub(crate) past: VecDeque<BroadcastId>,
    pub(crate) past_ids: BTreeSet<BroadcastId>,
    /// Of the last broadcast taken.
    pub(crate) last: Position,
    /// Of all that are kept.
    pub(crate) copies: usize,
    pub(crate) body_bytes: usize,
    pub(crate) tick: u64,
    /// Subscribers that have copies out at an instance that no longer serves them.
    pub(crate) moving: BTreeSet<Subscriber>,
    /// The ticks at which the last moves began.
    pub(crate) moved_at: VecDeque<u64>,
}

/// A broadcast of which a copy has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Kept {
    pub(crate) broadcast: Broadcast,
    pub(crate) open: u32,
    /// Completed, dismissed, written off.
    pub(crate) outcomes: [u32; 3],
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct CohortState {
    pub(crate) slow: bool,
    pub(crate) by: Option<InstanceId>,
    /// Grows when it changes hands.
    pub(crate) epoch: u64,
    pub(crate) members: BTreeSet<Subscriber>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Follower {
    pub(crate) cohort: Cohort,
    /// A list names it.
    pub(crate) listed: bool,
    /// Copies that nobody was handed, oldest first.
    pub(crate) waiting: VecDeque<Position>,
    /// Copies that an instance was handed, in that order.
    pub(crate) pending: Vec<Pending>,
    /// Where it is parked or cold.
    pub(crate) rests: BTreeSet<InstanceId>,
    /// What was seen of it at each instance; few, for each takes a move.
    pub(crate) votes: BTreeMap<InstanceId, Votes>,
    pub(crate) verdict: Verdict,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Pending {
    pub(crate) position: Position,
    pub(crate) at: Option<InstanceId>,
    /// Given up before any call of it was made, or with its instance: the end has still to be told.
    pub(crate) end: Option<Outcome>,
    /// It was a vote already, while it was out.
    pub(crate) voted: bool,
}

impl Follower {
    pub(crate) fn new(cohort: Cohort) -> Self {
        Follower {
            cohort,
            listed: true,
            waiting: VecDeque::new(),
            pending: Vec::new(),
            rests: BTreeSet::new(),
            votes: BTreeMap::new(),
            verdict: Verdict::default(),
        }
    }

    /// Copies that may be out.
    pub(crate) fn out(&self) -> impl Iterator<Item = &Pending> {
        self.pending.iter().filter(|p| p.end.is_none())
    }

    /// Whether copies may be out at an instance that does not serve it now.
    pub(crate) fn out_elsewhere(&self, server: Option<InstanceId>) -> bool {
        self.out().any(|p| p.at != server)
    }
}

impl FanoutState {
    /// Bytes for a snapshot of the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None if the bytes are no snapshot.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Whether lists, cohorts and bounds are those.
    pub fn is_laid(&self, layout: &Layout) -> bool {
        let mut lists = layout.lists.clone();
        for (_, members) in &mut lists {
            members.sort();
            members.dedup();
        }
        let told = (layout.cohorts + layout.slow_cohorts) as usize;
        let slow = self.cohorts.values().filter(|c| c.slow).count();
        self.lists == lists.into_iter().collect()
            && (self.cohorts.len(), slow) == (told, layout.slow_cohorts as usize)
            && self.bounds == layout.bounds
    }

    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// None once each copy has its end.
    pub fn broadcast(&self, position: Position) -> Option<&Broadcast> {
        self.kept.get(&position).map(|kept| &kept.broadcast)
    }

    /// Broadcasts of which a copy has not ended.
    pub fn broadcasts(&self) -> impl Iterator<Item = (Position, &Broadcast)> {
        self.kept
            .iter()
            .map(|(position, kept)| (*position, &kept.broadcast))
    }

    /// None once each copy has its end.
    pub fn position(&self, id: &BroadcastId) -> Option<Position> {
        self.known.get(id).copied()
    }

    pub fn is_kept(&self, id: &BroadcastId) -> bool {
        self.known.contains_key(id)
    }

    /// Who serves the subscriber: the one instance that is handed copies of it.
    pub fn server(&self, subscriber: Subscriber) -> Option<InstanceId> {
        self.followers
            .get(&subscriber)
            .and_then(|f| self.cohorts.get(&f.cohort))
            .and_then(|c| c.by)
    }

    pub fn cohort(&self, subscriber: Subscriber) -> Option<Cohort> {
        self.followers.get(&subscriber).map(|f| f.cohort)
    }

    /// Who serves the cohort, and whether it is for slow ones.
    pub fn serves(&self, cohort: Cohort) -> Option<(Option<InstanceId>, bool)> {
        self.cohorts.get(&cohort).map(|c| (c.by, c.slow))
    }

    /// Copies that the instance was handed and has not told the end of, with the end that it is to tell if it
    /// is not to deliver them: what it goes on with after a restart.
    pub fn held_by(&self, instance: InstanceId) -> Vec<(Subscriber, Position, Option<Outcome>)> {
        let mut held = Vec::new();
        for (subscriber, follower) in &self.followers {
            let here = follower.pending.iter().filter(|p| p.at == Some(instance));
            held.extend(here.map(|p| (*subscriber, p.position, p.end)));
        }
        held
    }

    /// Whether a copy could be handed to the instance now: it has a reason to ask.
    pub fn has_more_for(&self, instance: InstanceId) -> bool {
        let here = self
            .instances
            .get(&instance)
            .filter(|i| !i.lost && i.held < self.bounds.room);
        let mine = self
            .cohorts
            .values()
            .filter(|c| here.is_some() && c.by == Some(instance));
        mine.flat_map(|c| c.members.iter().map(|s| (c.slow, s)))
            .any(|(slow, subscriber)| {
                self.followers.get(subscriber).is_some_and(|f| {
                    let room = f.out().count() < self.bounds.window_of(slow);
                    !f.waiting.is_empty() && room && !f.out_elsewhere(Some(instance))
                })
            })
    }

    /// Copies of the subscriber that have no end yet.
    pub fn backlog(&self, subscriber: Subscriber) -> usize {
        self.followers
            .get(&subscriber)
            .map_or(0, |f| f.waiting.len() + f.pending.len())
    }

    pub fn rests(&self, subscriber: Subscriber, at: InstanceId) -> bool {
        self.followers
            .get(&subscriber)
            .is_some_and(|f| f.rests.contains(&at))
    }

    /// Subscribers on the move.
    pub fn moving(&self) -> usize {
        self.moving.len()
    }

    /// How often the instance was lost, which a [`crate::Command::GivenUp`] has to name.
    pub fn times_lost(&self, instance: InstanceId) -> Option<u64> {
        self.instances
            .get(&instance)
            .filter(|i| i.lost)
            .map(|i| i.times_lost)
    }

    /// How long after it was lost all that it held has surely ended there: the longest patience, on a clock of
    /// one's own. Clocks may run apart by a hundredth, and a call may outlast its event's patience.
    pub fn gives_up_after(&self, longest_call: f64) -> f64 {
        let longest = self
            .kept
            .values()
            .map(|k| k.broadcast.patience)
            .fold(0.0, f64::max);
        1.01 * (longest + longest_call)
    }

    pub fn known_instances(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.instances.keys().copied()
    }

    /// Whether a copy of one of these was handed to nobody yet.
    pub fn any_waits(&self, positions: &[Position]) -> bool {
        self.followers
            .values()
            .any(|f| f.waiting.iter().any(|p| positions.contains(p)))
    }

    pub fn ticks(&self) -> u64 {
        self.tick
    }

    /// Bytes of memory that it keeps, about.
    pub fn size(&self) -> usize {
        let followers = self.followers.len() * 400 + self.copies * 48;
        self.body_bytes + self.kept.len() * 400 + followers + self.past.len() * 96
    }
}
