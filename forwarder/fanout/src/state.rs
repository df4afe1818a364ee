//! The state that the log's commands produce: the same on every instance that has applied the same number of
//! them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::bounds::Bounds;
use crate::command::{Broadcast, Layout, Outcome};
use crate::instances::Instance;
use crate::names::*;
use crate::verdict::Verdict;
use crate::votes::Votes;

/// Ids of completed broadcasts that are remembered: another broadcast with such an id is rejected.
pub(crate) const MAX_COMPLETED_IDS: usize = 8192;

/// The replicated state of lists, cohorts, instances, subscribers and broadcasts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FanoutState {
    pub(crate) bounds: Bounds,
    pub(crate) lists: BTreeMap<ListName, Vec<Subscriber>>,
    pub(crate) cohorts: BTreeMap<Cohort, CohortState>,
    pub(crate) instances: BTreeMap<InstanceId, Instance>,
    pub(crate) subscribers: BTreeMap<Subscriber, SubscriberState>,
    pub(crate) pending_broadcasts: BTreeMap<Position, PendingBroadcast>,
    pub(crate) known: BTreeMap<BroadcastId, Position>,
    pub(crate) completed_ids: VecDeque<BroadcastId>,
    pub(crate) completed_id_set: BTreeSet<BroadcastId>,
    /// The position of the last accepted broadcast.
    pub(crate) last: Position,
    /// Copies of all pending broadcasts that have not ended.
    pub(crate) copies: usize,
    /// Bytes of the bodies of all pending broadcasts.
    pub(crate) body_bytes: usize,
    pub(crate) tick: u64,
    /// Subscribers with copies in flight at an instance that no longer serves them.
    pub(crate) moving: BTreeSet<Subscriber>,
    /// The ticks at which the latest moves began.
    pub(crate) move_ticks: VecDeque<u64>,
}

/// A broadcast with a copy that has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PendingBroadcast {
    pub(crate) broadcast: Broadcast,
    pub(crate) open: u32,
    /// Copies that completed, were rejected and were abandoned.
    pub(crate) outcomes: [u32; 3],
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct CohortState {
    pub(crate) slow: bool,
    pub(crate) by: Option<InstanceId>,
    /// Incremented at each assignment to an instance.
    pub(crate) epoch: u64,
    pub(crate) members: BTreeSet<Subscriber>,
}

/// The state of one subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SubscriberState {
    pub(crate) cohort: Cohort,
    /// Whether a list names the subscriber.
    pub(crate) is_listed: bool,
    /// Copies that no instance was handed, oldest first.
    pub(crate) queued: VecDeque<Position>,
    /// Copies that are assigned to an instance, in the order of assignment.
    pub(crate) pending: Vec<PendingCopy>,
    /// The instances at which the subscriber is parked or cold.
    pub(crate) rests: BTreeSet<InstanceId>,
    /// The votes on the subscriber at each instance; few, since each further instance takes a move.
    pub(crate) votes: BTreeMap<InstanceId, Votes>,
    pub(crate) verdict: Verdict,
}

/// A copy that is assigned to an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PendingCopy {
    pub(crate) position: Position,
    pub(crate) at: Option<InstanceId>,
    /// The outcome that is still to be reported, of a copy that was rejected before any call or abandoned
    /// with its instance.
    pub(crate) end: Option<Outcome>,
    /// Whether no further sample is taken of the copy: it was sampled in flight, or rejected before any call.
    pub(crate) sampled: bool,
}

impl SubscriberState {
    pub(crate) fn new(cohort: Cohort) -> Self {
        SubscriberState {
            cohort,
            is_listed: true,
            queued: VecDeque::new(),
            pending: Vec::new(),
            rests: BTreeSet::new(),
            votes: BTreeMap::new(),
            verdict: Verdict::default(),
        }
    }

    /// Copies that may be in flight.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = &PendingCopy> {
        self.pending.iter().filter(|p| p.end.is_none())
    }

    /// Whether copies may be in flight at an instance other than `server`.
    pub(crate) fn in_flight_elsewhere(&self, server: Option<InstanceId>) -> bool {
        self.in_flight().any(|p| p.at != server)
    }
}

impl FanoutState {
    /// Bytes for a snapshot of the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// `None` if the bytes are not a snapshot.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Whether the lists, cohorts and bounds are those of `layout`.
    pub fn has_layout(&self, layout: &Layout) -> bool {
        let mut lists = layout.lists.clone();
        for (_, members) in &mut lists {
            members.sort();
            members.dedup();
        }
        let cohort_count = (layout.cohorts + layout.slow_cohorts) as usize;
        let slow = self.cohorts.values().filter(|c| c.slow).count();
        self.lists == lists.into_iter().collect()
            && (self.cohorts.len(), slow) == (cohort_count, layout.slow_cohorts as usize)
            && self.bounds == layout.bounds
    }

    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// `None` once every copy has ended.
    pub fn broadcast(&self, position: Position) -> Option<&Broadcast> {
        self.pending_broadcasts
            .get(&position)
            .map(|kept| &kept.broadcast)
    }

    /// Broadcasts with a copy that has not ended.
    pub fn broadcasts(&self) -> impl Iterator<Item = (Position, &Broadcast)> {
        self.pending_broadcasts
            .iter()
            .map(|(position, kept)| (*position, &kept.broadcast))
    }

    /// `None` once every copy has ended.
    pub fn position(&self, id: &BroadcastId) -> Option<Position> {
        self.known.get(id).copied()
    }

    pub fn is_pending(&self, id: &BroadcastId) -> bool {
        self.known.contains_key(id)
    }

    /// The instance that serves the subscriber: the only one that is handed its copies.
    pub fn server(&self, subscriber: Subscriber) -> Option<InstanceId> {
        self.subscribers
            .get(&subscriber)
            .and_then(|f| self.cohorts.get(&f.cohort))
            .and_then(|c| c.by)
    }

    pub fn cohort(&self, subscriber: Subscriber) -> Option<Cohort> {
        self.subscribers.get(&subscriber).map(|f| f.cohort)
    }

    /// The instance that serves the cohort, and whether the cohort is a slow one.
    pub fn cohort_server(&self, cohort: Cohort) -> Option<(Option<InstanceId>, bool)> {
        self.cohorts.get(&cohort).map(|c| (c.by, c.slow))
    }

    /// Copies that are assigned to the instance and whose end it has not reported, each with the outcome to
    /// report if it is not to be delivered. The instance resumes them after a restart.
    pub fn assigned_copies(
        &self,
        instance: InstanceId,
    ) -> Vec<(Subscriber, Position, Option<Outcome>)> {
        let mut held = Vec::new();
        for (subscriber, subscriber_state) in &self.subscribers {
            let here = subscriber_state
                .pending
                .iter()
                .filter(|p| p.at == Some(instance));
            held.extend(here.map(|p| (*subscriber, p.position, p.end)));
        }
        held
    }

    /// Whether a copy could be handed to the instance now, so that it has a reason to request copies.
    pub fn has_copies_for(&self, instance: InstanceId) -> bool {
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
                self.subscribers.get(subscriber).is_some_and(|f| {
                    let room = f.in_flight().count() < self.bounds.window_of(slow);
                    !f.queued.is_empty() && room && !f.in_flight_elsewhere(Some(instance))
                })
            })
    }

    /// Number of the subscriber's copies that have not ended.
    pub fn backlog(&self, subscriber: Subscriber) -> usize {
        self.subscribers
            .get(&subscriber)
            .map_or(0, |f| f.queued.len() + f.pending.len())
    }

    /// Whether the subscriber is parked or cold at the instance.
    pub fn is_resting(&self, subscriber: Subscriber, at: InstanceId) -> bool {
        self.subscribers
            .get(&subscriber)
            .is_some_and(|f| f.rests.contains(&at))
    }

    /// Number of subscribers that are moving.
    pub fn moving_count(&self) -> usize {
        self.moving.len()
    }

    /// The number of times that the instance was lost, which a [`crate::Command::GivenUp`] has to include;
    /// `None` while it is not lost.
    pub fn times_lost(&self, instance: InstanceId) -> Option<u64> {
        self.instances
            .get(&instance)
            .filter(|i| i.lost)
            .map(|i| i.times_lost)
    }

    /// The time from an instance's loss until every copy that it had has surely ended there: the longest
    /// patience and a call, measured on the caller's own clock. Clocks may differ in rate by 1%, and a call
    /// may outlast its event's patience.
    pub fn write_off_delay(&self, longest_call: f64) -> f64 {
        let longest = self
            .pending_broadcasts
            .values()
            .map(|k| k.broadcast.patience)
            .fold(0.0, f64::max);
        1.01 * (longest + longest_call)
    }

    pub fn known_instances(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.instances.keys().copied()
    }

    /// Whether a copy of one of these broadcasts has not been handed to an instance yet.
    pub fn any_queued(&self, positions: &[Position]) -> bool {
        self.subscribers
            .values()
            .any(|f| f.queued.iter().any(|p| positions.contains(p)))
    }

    pub fn ticks(&self) -> u64 {
        self.tick
    }

    /// Approximate memory use in bytes.
    pub fn size(&self) -> usize {
        let subscribers = self.subscribers.len() * 400 + self.copies * 48;
        self.body_bytes
            + self.pending_broadcasts.len() * 400
            + subscribers
            + self.completed_ids.len() * 96
    }
}
