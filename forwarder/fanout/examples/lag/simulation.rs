//! A day in virtual time: one log, four forwarders, two hundred subscribers.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use plankhill_decisions::interface::*;
use plankhill_fanout::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::instance::{terms, CameIn, Instance};
use crate::plan::{Due, Plan, Result, Way, What};

pub const INSTANCES: usize = 4;
pub const SUBSCRIBERS: u64 = 200;
const SLOTS: usize = 24;
const PATIENCE: Ms = 10_000.0;
pub const SLOW_FROM: Ms = 60_000.0;
/// From proposing to applying: a majority on one site.
const COMMIT: Ms = 5.0;
/// A station looks for what to ask so often, the leader too.
const PUMP: Ms = 20.0;
const EACH: Ms = 200.0;

struct Day {
    plan: Plan,
    chance: ChaCha8Rng,
    now: Ms,
    queue: BinaryHeap<Due>,
    number: u64,
    log: Vec<Command>,
    truth: FanoutState,
    instances: Vec<Instance>,
    leading: Coordinator,
    taken: BTreeMap<Position, Ms>,
    known_slow: BTreeSet<Subscriber>,
    result: Result,
}

pub fn play(plan: Plan) -> Result {
    let instance = |id: usize| {
        Instance::new(
            id as u64 + 1,
            terms(id as u64, INSTANCES, SLOTS, PATIENCE),
            SUBSCRIBERS,
        )
    };
    let mut day = Day {
        chance: ChaCha8Rng::seed_from_u64(plan.seed),
        now: 0.0,
        queue: BinaryHeap::new(),
        number: 0,
        log: Vec::new(),
        truth: FanoutState::default(),
        instances: (0..INSTANCES).map(instance).collect(),
        leading: Coordinator::default(),
        taken: BTreeMap::new(),
        known_slow: BTreeSet::new(),
        result: Result::default(),
        plan,
    };
    day.begins();
    while let Some(Due(at, _, what)) = day.queue.pop() {
        day.now = at;
        if at > day.plan.length {
            break;
        }
        day.happens(what);
    }
    day.result
}

impl Day {
    fn begins(&mut self) {
        let Way {
            cohorts,
            slow_cohorts,
            window,
            slow_window,
        } = self.plan.way;
        let bounds = Bounds {
            window,
            slow_window,
            kept_for_one: 64,
            kept_in_all: 100_000,
            broadcasts: 2000,
            body_bytes: 10_000_000,
            room: 2000,
            moves_at_once: 4,
            moves_a_minute: 20,
        };
        let lists = vec![(
            ListName("all".into()),
            (0..SUBSCRIBERS).map(DestinationId).collect(),
        )];
        self.commits(Command::Laid(Layout {
            lists,
            cohorts,
            slow_cohorts,
            bounds,
        }));
        for at in 0..INSTANCES {
            self.at(1.0 + at as f64, What::Pump(at));
            if self.plan.stalls {
                self.at(20_000.0 + 5000.0 * at as f64, What::Stall(at));
            }
        }
        self.at(5000.0, What::Broadcast(1));
    }

    fn at(&mut self, at: Ms, what: What) {
        self.number += 1;
        self.queue.push(Due(at, self.number, what));
    }

    fn is_slow(&self, subscriber: Subscriber) -> bool {
        // Spread over all cohorts.
        subscriber.0 * self.plan.slow / SUBSCRIBERS
            != (subscriber.0 + 1) * self.plan.slow / SUBSCRIBERS
    }

    fn takes(&mut self, subscriber: Subscriber) -> Ms {
        let spread = -self.chance.random_range(f64::EPSILON..1.0f64).ln();
        match self.is_slow(subscriber) && self.now >= SLOW_FROM {
            true => 600.0 + 400.0 * spread,
            false => 20.0 + 30.0 * spread,
        }
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Commit(command) => self.commits(command),
            What::Broadcast(number) => {
                self.at(self.now + EACH, What::Broadcast(number + 1));
                let broadcast = Broadcast {
                    id: BroadcastId(format!("b{number}")),
                    list: ListName("all".into()),
                    traffic: "prices".into(),
                    at: self.now,
                    patience: PATIENCE,
                    key: None,
                    fingerprint: None,
                    body: b"{}".to_vec(),
                };
                self.at(
                    self.now + COMMIT,
                    What::Commit(Command::Taken {
                        by: InstanceId(1),
                        process: 1,
                        number,
                        broadcast,
                    }),
                );
            }
            What::Stall(at) => {
                self.instances[at].stalled = self.now + self.chance.random_range(200.0..2800.0);
                let next = self.now + self.chance.random_range(10_000.0..30_000.0);
                self.at(next, What::Stall(at));
            }
            What::Pump(at) => self.pumps(at),
            What::CameIn(at, came) => {
                let stalled = self.instances[at].stalled;
                if stalled > self.now {
                    return self.at(stalled, What::CameIn(at, came));
                }
                if matches!(came, CameIn::Wake) {
                    self.instances[at].wake_at = None;
                }
                self.round(at, vec![came]);
            }
        }
    }

    fn pumps(&mut self, at: usize) {
        let stalled = self.instances[at].stalled;
        if stalled > self.now {
            return self.at(stalled, What::Pump(at));
        }
        self.at(self.now + PUMP, What::Pump(at));
        let came = self.instances[at].hears(self.now, &self.log);
        self.round(at, came);
        for command in self.instances[at].station.poll_commands(self.now) {
            self.at(self.now + COMMIT, What::Commit(command));
        }
        // The leader is the first; it never stalls, others are led without it for no longer than a stall.
        if at == 0 {
            let up = self.instances.iter().filter(|i| i.stalled <= self.now);
            let up: Vec<InstanceId> = up.map(|i| i.station.me()).collect();
            for command in self
                .leading
                .poll_commands(self.now, &self.truth, &up, 1000.0)
            {
                self.at(self.now + COMMIT, What::Commit(command));
            }
        }
    }

    fn round(&mut self, at: usize, came: Vec<CameIn>) {
        let (leaves, ends) = self.instances[at].round(self.now, came);
        for ((subscriber, position), outcome) in ends {
            self.counts(subscriber, position, outcome);
        }
        for (event, copy, time_out) in leaves.calls {
            let took = self.takes(copy.0);
            let (fate, took) = if took > time_out {
                (AttemptOutcome::TimedOut, time_out)
            } else {
                (AttemptOutcome::Delivered, took)
            };
            self.at(
                self.now + took,
                What::CameIn(at, CameIn::CallEnds(event, fate, took)),
            );
        }
        for target in leaves.pings {
            self.at(self.now + 30.0, What::CameIn(at, CameIn::PingEnds(target)));
        }
        if let Some(pause) = leaves.wake {
            let due = self.now + pause + 0.01;
            if self.instances[at].wake_at.is_none_or(|wake| due < wake) {
                self.instances[at].wake_at = Some(due);
                self.at(due, What::CameIn(at, CameIn::Wake));
            }
        }
    }

    fn counts(&mut self, subscriber: Subscriber, position: Position, outcome: Outcome) {
        let (slow, done) = (self.is_slow(subscriber), outcome == Outcome::Completed);
        let Some(taken) = self
            .taken
            .get(&position)
            .copied()
            .filter(|taken| *taken >= SLOW_FROM)
        else {
            return;
        };
        if slow {
            *(if done {
                &mut self.result.slow.0
            } else {
                &mut self.result.slow.1
            }) += 1;
        } else if done {
            let lag = ((self.now - taken).max(0.0) * 10.0) as u64;
            self.result.healthy.0.saturating_record(lag);
            if taken >= SLOW_FROM + 60_000.0 {
                self.result.settled.0.saturating_record(lag);
            }
        } else {
            self.result.healthy_lost += 1;
        }
    }

    fn commits(&mut self, command: Command) {
        let moved = match &command {
            Command::Moved { subscriber, .. } => {
                Some((*subscriber, self.truth.cohort(*subscriber)))
            }
            _ => None,
        };
        let served = matches!(command, Command::Served { .. }) && self.now > 5000.0;
        self.result.cohort_moves += u64::from(served);
        for effect in self.truth.apply(command.clone()) {
            match effect {
                Effect::Accepted { position, .. } => drop(self.taken.insert(position, self.now)),
                // Given up before it was handed in: the subscriber's, whoever tells it.
                Effect::Assigned {
                    subscriber,
                    position,
                    end: Some(outcome),
                    ..
                } => {
                    self.counts(subscriber, position, outcome);
                }
                _ => (),
            }
        }
        if let Some((subscriber, _)) = moved.filter(|(s, from)| self.truth.cohort(*s) != *from) {
            self.result.moves += 1;
            self.result.false_moves += u64::from(!self.is_slow(subscriber));
        }
        if command == Command::Tick {
            let judged: Vec<Subscriber> = self.truth.verdicts().map(|(s, _)| s).collect();
            for subscriber in judged
                .into_iter()
                .filter(|s| self.known_slow.insert(*s))
                .collect::<Vec<_>>()
            {
                match self.is_slow(subscriber) {
                    true => self.result.found.push(self.now - SLOW_FROM),
                    false => self.result.false_verdicts += 1,
                }
            }
        }
        self.log.push(command);
    }
}
