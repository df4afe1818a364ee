//! Detection of slow subscribers. A copy's lag has two parts: the wait for its first call, which is due to
//! the forwarder, and the time from then on, which is due to the subscriber, unless all of the forwarder's
//! subscribers were late together.

use std::collections::{BTreeMap, BTreeSet};

use plankhill_decisions::interface::Ms;
use serde::{Deserialize, Serialize};

use crate::names::*;
use crate::state::FanoutState;
use crate::verdict::{Figures, Judged};
use crate::votes::{median, Votes};

/// A copy is late if it took more than four times the median of its cohort and more than four times that of
/// the other cohorts. Subscribers differ by a factor of two or three due to their distance alone.
const LATE_FACTOR: f64 = 4.0;
/// A copy that took at most 250 ms is never late: at this speed a subscriber does not slow down others,
/// however fast these are.
const MAX_PROMPT_TIME: Ms = 250.0;
/// A subscriber is judged slow, or a forwarder at fault, at the first share of late votes. The verdict is
/// lifted at the second and stays in between.
const SLOW_LATE_SHARE: f64 = 0.5;
const CLEARED_LATE_SHARE: f64 = 0.1;
/// Votes that a verdict needs. A stall makes one or two of them late, and half of eight is four.
const MIN_VOTES: f64 = 8.0;
/// A forwarder is at fault in a batch if more than half of the subscribers in it were late. With fewer than
/// four subscribers the fault cannot be attributed.
const MIN_BATCH_SUBSCRIBERS: usize = 4;
/// Ticks for which a batch with fewer subscribers waits for more; then it is dropped, since no verdict can be
/// based on it.
const MAX_BATCH_TICKS: u64 = 10;
/// Batches that a verdict on a forwarder needs.
const MIN_BATCHES: f64 = 3.0;
/// Samples of one instance between two ticks; more add no information.
const MAX_BATCH_SAMPLES: usize = 4096;
/// Consecutive ticks at which the share of late votes has to be low enough for a recovery to be lasting.
/// Doubled with each earlier recovery, up to eight times.
const RECOVERY_TICKS: u64 = 60;
/// Ticks after which a verdict on a route is dropped: routes are repaired.
const ROUTE_VERDICT_TICKS: u64 = 600;
/// Instances whose votes are kept for a subscriber.
const MAX_VOTED_INSTANCES: usize = 4;

/// The measured times of one copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Sample {
    subscriber: Subscriber,
    own: Ms,
    waited: Ms,
}

/// Medians of the cohorts for subscribers that keep up.
struct Medians(BTreeMap<Cohort, Ms>);

impl Medians {
    fn of(&self, cohort: Cohort) -> Option<Ms> {
        self.0.get(&cohort).copied()
    }

    fn others(&self, cohort: Cohort) -> Option<Ms> {
        median(
            self.0
                .iter()
                .filter(|(id, _)| **id != cohort)
                .map(|(_, own)| *own)
                .collect(),
        )
    }

    fn is_late(&self, own: Ms, cohort: Cohort) -> bool {
        let over = |known: Option<Ms>| known.is_none_or(|usual| own > LATE_FACTOR * usual);
        own > MAX_PROMPT_TIME && over(self.of(cohort)) && over(self.others(cohort))
    }
}

impl FanoutState {
    pub(crate) fn add_sample(
        &mut self,
        at: InstanceId,
        subscriber: Subscriber,
        own: Ms,
        waited: Ms,
    ) {
        let rests = self
            .subscribers
            .get(&subscriber)
            .is_none_or(|f| f.rests.contains(&at));
        let Some(instance) = self.instances.get_mut(&at).filter(|i| !i.lost) else {
            return;
        };
        let is_valid = own.is_finite() && waited.is_finite() && own >= 0.0 && waited >= 0.0;
        if rests || !is_valid || instance.batch.len() >= MAX_BATCH_SAMPLES {
            return;
        }
        if instance.batch.is_empty() {
            instance.since = self.tick;
        }
        instance.batch.push(Sample {
            subscriber,
            own,
            waited,
        });
    }

    /// Samples a copy that has been in flight for long, before it ends: a subscriber that hangs is not found
    /// by ended copies alone.
    pub(crate) fn sample_in_flight_copy(
        &mut self,
        at: InstanceId,
        subscriber: Subscriber,
        position: Position,
        own: Ms,
    ) {
        let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) else {
            return;
        };
        let here = |p: &&mut crate::state::PendingCopy| {
            p.position == position && p.at == Some(at) && !p.sampled
        };
        if let Some(pending) = subscriber_state.pending.iter_mut().find(here) {
            pending.sampled = true;
            self.add_sample(at, subscriber, own, 0.0);
        }
    }

    pub(crate) fn update_verdicts(&mut self) {
        let medians = self.medians();
        let ids: Vec<InstanceId> = self.instances.keys().copied().collect();
        ids.into_iter()
            .for_each(|id| self.judge_batch(id, &medians));
        self.judge_all(&medians);
    }

    fn medians(&self) -> Medians {
        let mut all = BTreeMap::new();
        for (id, cohort) in self.cohorts.iter().filter(|(_, c)| !c.slow) {
            let subscribers = cohort
                .members
                .iter()
                .filter_map(|s| self.subscribers.get(s));
            let votes = subscribers.filter_map(|f| f.votes.get(&cohort.by?));
            let own = votes
                .filter(|v| v.count() >= 1.0)
                .map(Votes::mean_own)
                .collect();
            median(own).map(|own| all.insert(*id, own));
        }
        Medians(all)
    }

    /// Adds one vote for each subscriber in the batch, unless the forwarder was at fault.
    fn judge_batch(&mut self, id: InstanceId, medians: &Medians) {
        let tick = self.tick;
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        let mut by_subscriber: BTreeMap<Subscriber, (usize, usize, Ms, Ms)> = BTreeMap::new();
        for sample in &instance.batch {
            let Some(subscriber_state) = self.subscribers.get(&sample.subscriber) else {
                continue;
            };
            let (count, late, own, waited) = by_subscriber.entry(sample.subscriber).or_default();
            *count += 1;
            *late += usize::from(medians.is_late(sample.own, subscriber_state.cohort));
            *own += sample.own;
            *waited += sample.waited;
        }
        let slow = |s: &Subscriber| {
            self.subscribers
                .get(s)
                .is_some_and(|f| matches!(f.verdict.judged, Judged::Slow(_)))
        };
        // Subscribers that are judged slow are late at any forwarder, and no evidence about this one.
        let informative: Vec<_> = by_subscriber.iter().filter(|(s, _)| !slow(s)).collect();
        let few = informative.len() < MIN_BATCH_SUBSCRIBERS;
        if few
            && tick - instance.since < MAX_BATCH_TICKS
            && by_subscriber.len() == informative.len()
        {
            return;
        }
        instance.batch.clear();
        let late = informative
            .iter()
            .filter(|(_, (count, late, ..))| 2 * late > *count)
            .count();
        let at_fault = !few && 2 * late > informative.len();
        let all = informative
            .iter()
            .map(|(_, (count, _, own, waited))| (*count as f64, *own, *waited));
        let (count, own, waited) =
            all.fold((0.0, 0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2));
        if !few {
            instance
                .votes
                .add(tick, at_fault, own / count, waited / count);
        }
        instance.votes.decay(tick);
        let enough = instance.votes.count() >= MIN_BATCHES;
        instance.at_fault = match instance.at_fault {
            false => enough && instance.votes.late_share() >= SLOW_LATE_SHARE,
            true => instance.votes.late_share() > CLEARED_LATE_SHARE,
        };
        if at_fault || instance.at_fault {
            return;
        }
        let informative: BTreeSet<Subscriber> = informative.into_iter().map(|(s, _)| *s).collect();
        for (subscriber, (count, late, own, waited)) in by_subscriber {
            if few && informative.contains(&subscriber) {
                continue;
            }
            let Some(subscriber_state) = self.subscribers.get_mut(&subscriber) else {
                continue;
            };
            let share = count as f64;
            let votes = subscriber_state.votes.entry(id).or_default();
            votes.add(tick, 2 * late > count, own / share, waited / share);
            while subscriber_state.votes.len() > MAX_VOTED_INSTANCES {
                let here = |v: &(&InstanceId, &Votes)| *v.0 != id;
                let least = subscriber_state
                    .votes
                    .iter()
                    .filter(here)
                    .min_by(|a, b| a.1.count().total_cmp(&b.1.count()));
                let Some(least) = least.map(|(instance_id, _)| *instance_id) else {
                    break;
                };
                subscriber_state.votes.remove(&least);
            }
        }
    }

    fn judge_all(&mut self, medians: &Medians) {
        let tick = self.tick;
        for subscriber_state in self.subscribers.values_mut() {
            let Some(at) = self
                .cohorts
                .get(&subscriber_state.cohort)
                .and_then(|c| c.by)
            else {
                continue;
            };
            let (cohort, rests) = (
                subscriber_state.cohort,
                subscriber_state.rests.contains(&at),
            );
            let Some(votes) = subscriber_state.votes.get_mut(&at) else {
                continue;
            };
            votes.decay(tick);
            let (seen, late, own) = (votes.count(), votes.late_share(), votes.mean_own());
            let enough = seen >= MIN_VOTES && !rests;
            let verdict = &mut subscriber_state.verdict;
            match verdict.judged {
                Judged::KeepsUp if enough && late >= SLOW_LATE_SHARE => {
                    let (cohort, others) = (medians.of(cohort), medians.others(cohort));
                    verdict.judged = Judged::Slow(Figures {
                        at,
                        votes: seen,
                        late,
                        own,
                        cohort,
                        others,
                    });
                    (verdict.since, verdict.good_ticks, verdict.confirmed) = (tick, 0, false);
                }
                Judged::Slow(figures) if enough => {
                    verdict.good_ticks = if late <= CLEARED_LATE_SHARE {
                        verdict.good_ticks + 1
                    } else {
                        0
                    };
                    let elsewhere = figures.at != at && !verdict.confirmed;
                    verdict.confirmed |= elsewhere;
                    let lasting = RECOVERY_TICKS << verdict.recoveries.min(3);
                    if elsewhere && late <= CLEARED_LATE_SHARE {
                        verdict.judged = Judged::Route(figures);
                        (verdict.since, verdict.good_ticks) = (tick, 0);
                    } else if verdict.good_ticks >= lasting {
                        verdict.judged = Judged::KeepsUp;
                        (verdict.since, verdict.good_ticks) = (tick, 0);
                        verdict.recoveries += 1;
                    }
                }
                Judged::Route(figures) if figures.at != at && enough && late >= SLOW_LATE_SHARE => {
                    // The subscriber is slow here too.
                    verdict.judged = Judged::Slow(Figures {
                        at,
                        votes: seen,
                        late,
                        own,
                        ..figures
                    });
                    (verdict.since, verdict.good_ticks, verdict.confirmed) = (tick, 0, true);
                }
                Judged::Route(_) if tick - verdict.since >= ROUTE_VERDICT_TICKS => {
                    verdict.judged = Judged::KeepsUp;
                    verdict.since = tick;
                }
                _ => (),
            }
        }
    }
}
