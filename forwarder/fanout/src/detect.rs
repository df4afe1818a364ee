//! Who is slow. A copy's lag has two parts: what it waited for its first call, which is the forwarder's, and
//! what it took from then on, which is the subscriber's, unless all of the forwarder's were late together.

use std::collections::{BTreeMap, BTreeSet};

use plankhill_decisions::interface::Ms;
use serde::{Deserialize, Serialize};

use crate::names::*;
use crate::state::FanoutState;
use crate::sums::{median, Votes};
use crate::verdict::{Figures, Judged};

/// Late is what took over four times its cohort's median and over four times the other cohorts'. Subscribers
/// differ by two or three for their distance alone.
const TIMES: f64 = 4.0;
/// Under a quarter second nobody drags others, however quick the rest is.
const FLOOR: Ms = 250.0;
/// Judged slow at this share of late votes, cleared at the other: between them the verdict stays.
const ENTER: f64 = 0.5;
const LEAVE: f64 = 0.1;
/// Votes that a verdict needs. A stall makes one or two late, and half of eight are four.
const EVIDENCE: f64 = 8.0;
/// A forwarder is at fault in a batch if over half of the subscribers seen in it were late. Of fewer than four
/// it can't be told whose fault it is.
const FEWEST: usize = 4;
/// What was seen of so few waits so many ticks for more; then it is dropped, no verdict can rest on it.
const PATIENT: u64 = 10;
/// Batches that the verdict on a forwarder needs.
const BATCHES: f64 = 3.0;
/// Samples of one instance between two ticks; more say nothing new.
const MOST: usize = 4096;
/// As good as the rest for so many ticks, doubled with each relapse up to eight times: lasting.
const LASTING: u64 = 60;
/// A route's blame is forgotten after so many ticks: routes are mended.
const ROUTE_KEPT: u64 = 600;
/// Votes of so many instances are kept for a subscriber.
const PLACES: usize = 4;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Sample {
    subscriber: Subscriber,
    own: Ms,
    waited: Ms,
}

/// Medians of the cohorts that are for subscribers that keep up.
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
        let over = |known: Option<Ms>| known.is_none_or(|usual| own > TIMES * usual);
        own > FLOOR && over(self.of(cohort)) && over(self.others(cohort))
    }
}

impl FanoutState {
    pub(crate) fn sample(&mut self, at: InstanceId, subscriber: Subscriber, own: Ms, waited: Ms) {
        let rests = self
            .followers
            .get(&subscriber)
            .is_none_or(|f| f.rests.contains(&at));
        let Some(instance) = self.instances.get_mut(&at).filter(|i| !i.lost) else {
            return;
        };
        let readable = own.is_finite() && waited.is_finite() && own >= 0.0 && waited >= 0.0;
        if rests || !readable || instance.batch.len() >= MOST {
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

    /// A copy that is out for long is a vote while it is out: who hangs is not found by its ends alone.
    pub(crate) fn still_out(
        &mut self,
        at: InstanceId,
        subscriber: Subscriber,
        position: Position,
        own: Ms,
    ) {
        let Some(follower) = self.followers.get_mut(&subscriber) else {
            return;
        };
        let here =
            |p: &&mut crate::state::Pending| p.position == position && p.at == Some(at) && !p.voted;
        if let Some(pending) = follower.pending.iter_mut().find(here) {
            pending.voted = true;
            self.sample(at, subscriber, own, 0.0);
        }
    }

    pub(crate) fn detect(&mut self) {
        let medians = self.medians();
        let ids: Vec<InstanceId> = self.instances.keys().copied().collect();
        ids.into_iter()
            .for_each(|id| self.judge_batch(id, &medians));
        self.judge_all(&medians);
    }

    fn medians(&self) -> Medians {
        let mut all = BTreeMap::new();
        for (id, cohort) in self.cohorts.iter().filter(|(_, c)| !c.slow) {
            let followers = cohort.members.iter().filter_map(|s| self.followers.get(s));
            let votes = followers.filter_map(|f| f.votes.get(&cohort.by?));
            let own = votes.filter(|v| v.seen() >= 1.0).map(Votes::own).collect();
            median(own).map(|own| all.insert(*id, own));
        }
        Medians(all)
    }

    /// One vote for each subscriber seen, unless the forwarder was at fault.
    fn judge_batch(&mut self, id: InstanceId, medians: &Medians) {
        let tick = self.tick;
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        let mut seen: BTreeMap<Subscriber, (usize, usize, Ms, Ms)> = BTreeMap::new();
        for sample in &instance.batch {
            let Some(follower) = self.followers.get(&sample.subscriber) else {
                continue;
            };
            let (count, late, own, waited) = seen.entry(sample.subscriber).or_default();
            *count += 1;
            *late += usize::from(medians.is_late(sample.own, follower.cohort));
            *own += sample.own;
            *waited += sample.waited;
        }
        let slow = |s: &Subscriber| {
            self.followers
                .get(s)
                .is_some_and(|f| matches!(f.verdict.judged, Judged::Slow(_)))
        };
        // Those known as slow are late anywhere and say nothing of the forwarder.
        let telling: Vec<_> = seen.iter().filter(|(s, _)| !slow(s)).collect();
        let few = telling.len() < FEWEST;
        if few && tick - instance.since < PATIENT && seen.len() == telling.len() {
            return;
        }
        instance.batch.clear();
        let late = telling
            .iter()
            .filter(|(_, (count, late, ..))| 2 * late > *count)
            .count();
        let at_fault = !few && 2 * late > telling.len();
        let all = telling
            .iter()
            .map(|(_, (count, _, own, waited))| (*count as f64, *own, *waited));
        let (count, own, waited) =
            all.fold((0.0, 0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2));
        if !few {
            instance
                .votes
                .add(tick, at_fault, own / count, waited / count);
        }
        instance.votes.fade(tick);
        let enough = instance.votes.seen() >= BATCHES;
        instance.at_fault = match instance.at_fault {
            false => enough && instance.votes.late() >= ENTER,
            true => instance.votes.late() > LEAVE,
        };
        if at_fault || instance.at_fault {
            return;
        }
        let telling: BTreeSet<Subscriber> = telling.into_iter().map(|(s, _)| *s).collect();
        for (subscriber, (count, late, own, waited)) in seen {
            if few && telling.contains(&subscriber) {
                continue;
            }
            let Some(follower) = self.followers.get_mut(&subscriber) else {
                continue;
            };
            let share = count as f64;
            let votes = follower.votes.entry(id).or_default();
            votes.add(tick, 2 * late > count, own / share, waited / share);
            while follower.votes.len() > PLACES {
                let here = |v: &(&InstanceId, &Votes)| *v.0 != id;
                let least = follower
                    .votes
                    .iter()
                    .filter(here)
                    .min_by(|a, b| a.1.seen().total_cmp(&b.1.seen()));
                let Some(least) = least.map(|(place, _)| *place) else {
                    break;
                };
                follower.votes.remove(&least);
            }
        }
    }

    fn judge_all(&mut self, medians: &Medians) {
        let tick = self.tick;
        for follower in self.followers.values_mut() {
            let Some(at) = self.cohorts.get(&follower.cohort).and_then(|c| c.by) else {
                continue;
            };
            let (cohort, rests) = (follower.cohort, follower.rests.contains(&at));
            let Some(votes) = follower.votes.get_mut(&at) else {
                continue;
            };
            votes.fade(tick);
            let (seen, late, own) = (votes.seen(), votes.late(), votes.own());
            let enough = seen >= EVIDENCE && !rests;
            let verdict = &mut follower.verdict;
            match verdict.judged {
                Judged::KeepsUp if enough && late >= ENTER => {
                    let (cohort, others) = (medians.of(cohort), medians.others(cohort));
                    verdict.judged = Judged::Slow(Figures {
                        at,
                        votes: seen,
                        late,
                        own,
                        cohort,
                        others,
                    });
                    (verdict.since, verdict.good, verdict.confirmed) = (tick, 0, false);
                }
                Judged::Slow(figures) if enough => {
                    verdict.good = if late <= LEAVE { verdict.good + 1 } else { 0 };
                    let elsewhere = figures.at != at && !verdict.confirmed;
                    verdict.confirmed |= elsewhere;
                    let lasting = LASTING << verdict.relapses.min(3);
                    if elsewhere && late <= LEAVE {
                        verdict.judged = Judged::Route(figures);
                        (verdict.since, verdict.good) = (tick, 0);
                    } else if verdict.good >= lasting {
                        verdict.judged = Judged::KeepsUp;
                        (verdict.since, verdict.good) = (tick, 0);
                        verdict.relapses += 1;
                    }
                }
                Judged::Route(figures) if figures.at != at && enough && late >= ENTER => {
                    // It is slow here too.
                    verdict.judged = Judged::Slow(Figures {
                        at,
                        votes: seen,
                        late,
                        own,
                        ..figures
                    });
                    (verdict.since, verdict.good, verdict.confirmed) = (tick, 0, true);
                }
                Judged::Route(_) if tick - verdict.since >= ROUTE_KEPT => {
                    verdict.judged = Judged::KeepsUp;
                    verdict.since = tick;
                }
                _ => (),
            }
        }
    }
}
