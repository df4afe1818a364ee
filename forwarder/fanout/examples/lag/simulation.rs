//! A simulation in virtual time: one log, four forwarders, 200 subscribers.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use plankhill_decisions::interface::*;
use plankhill_fanout::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::instance::{decision_config, Instance, InstanceInput};
use crate::plan::{Measurements, Plan, ScheduledEvent, SimulationEvent, Strategy};

pub const INSTANCES: usize = 4;
pub const SUBSCRIBERS: u64 = 200;
const SLOTS: usize = 24;
const PATIENCE: Ms = 10_000.0;
pub const SLOW_FROM: Ms = 60_000.0;
/// From proposing to applying a command: a majority on one site.
const COMMIT_DELAY: Ms = 5.0;
/// Interval at which each instance, and the leader, polls for commands to propose.
const POLL_INTERVAL: Ms = 20.0;
const BROADCAST_INTERVAL: Ms = 200.0;

struct Simulation {
    plan: Plan,
    rng: ChaCha8Rng,
    now: Ms,
    queue: BinaryHeap<ScheduledEvent>,
    number: u64,
    log: Vec<Command>,
    log_state: FanoutState,
    instances: Vec<Instance>,
    coordinator: Coordinator,
    taken: BTreeMap<Position, Ms>,
    known_slow: BTreeSet<Subscriber>,
    result: Measurements,
}

pub fn run(plan: Plan) -> Measurements {
    let instance = |id: usize| {
        Instance::new(
            id as u64 + 1,
            decision_config(id as u64, INSTANCES, SLOTS, PATIENCE),
            SUBSCRIBERS,
        )
    };
    let mut simulation = Simulation {
        rng: ChaCha8Rng::seed_from_u64(plan.seed),
        now: 0.0,
        queue: BinaryHeap::new(),
        number: 0,
        log: Vec::new(),
        log_state: FanoutState::default(),
        instances: (0..INSTANCES).map(instance).collect(),
        coordinator: Coordinator::default(),
        taken: BTreeMap::new(),
        known_slow: BTreeSet::new(),
        result: Measurements::default(),
        plan,
    };
    simulation.start();
    while let Some(ScheduledEvent(at, _, event)) = simulation.queue.pop() {
        simulation.now = at;
        if at > simulation.plan.length {
            break;
        }
        simulation.handle(event);
    }
    simulation.result
}

impl Simulation {
    fn start(&mut self) {
        let Strategy {
            cohorts,
            slow_cohorts,
            window,
            slow_window,
        } = self.plan.strategy;
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
        self.commit(Command::Laid(Layout {
            lists,
            cohorts,
            slow_cohorts,
            bounds,
        }));
        for at in 0..INSTANCES {
            self.schedule(1.0 + at as f64, SimulationEvent::Poll(at));
            if self.plan.stalls {
                self.schedule(20_000.0 + 5000.0 * at as f64, SimulationEvent::Stall(at));
            }
        }
        self.schedule(5000.0, SimulationEvent::Broadcast(1));
    }

    fn schedule(&mut self, at: Ms, event: SimulationEvent) {
        self.number += 1;
        self.queue.push(ScheduledEvent(at, self.number, event));
    }

    fn is_slow(&self, subscriber: Subscriber) -> bool {
        // Slow subscribers are spread over all cohorts.
        subscriber.0 * self.plan.slow / SUBSCRIBERS
            != (subscriber.0 + 1) * self.plan.slow / SUBSCRIBERS
    }

    fn draw_duration(&mut self, subscriber: Subscriber) -> Ms {
        let spread = -self.rng.random_range(f64::EPSILON..1.0f64).ln();
        match self.is_slow(subscriber) && self.now >= SLOW_FROM {
            true => 600.0 + 400.0 * spread,
            false => 20.0 + 30.0 * spread,
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Commit(command) => self.commit(command),
            SimulationEvent::Broadcast(number) => {
                self.schedule(
                    self.now + BROADCAST_INTERVAL,
                    SimulationEvent::Broadcast(number + 1),
                );
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
                self.schedule(
                    self.now + COMMIT_DELAY,
                    SimulationEvent::Commit(Command::Taken {
                        by: InstanceId(1),
                        process: 1,
                        number,
                        broadcast,
                    }),
                );
            }
            SimulationEvent::Stall(at) => {
                self.instances[at].stalled_until = self.now + self.rng.random_range(200.0..2800.0);
                let next = self.now + self.rng.random_range(10_000.0..30_000.0);
                self.schedule(next, SimulationEvent::Stall(at));
            }
            SimulationEvent::Poll(at) => self.poll(at),
            SimulationEvent::Input(at, input) => {
                let stalled_until = self.instances[at].stalled_until;
                if stalled_until > self.now {
                    return self.schedule(stalled_until, SimulationEvent::Input(at, input));
                }
                if matches!(input, InstanceInput::Wake) {
                    self.instances[at].wake_at = None;
                }
                self.run_iteration(at, vec![input]);
            }
        }
    }

    fn poll(&mut self, at: usize) {
        let stalled_until = self.instances[at].stalled_until;
        if stalled_until > self.now {
            return self.schedule(stalled_until, SimulationEvent::Poll(at));
        }
        self.schedule(self.now + POLL_INTERVAL, SimulationEvent::Poll(at));
        let inputs = self.instances[at].apply_log(self.now, &self.log);
        self.run_iteration(at, inputs);
        for command in self.instances[at].local_instance.poll_commands(self.now) {
            self.schedule(self.now + COMMIT_DELAY, SimulationEvent::Commit(command));
        }
        // The first instance is the leader. While it stalls, the fleet has none.
        if at == 0 {
            let reachable = self
                .instances
                .iter()
                .filter(|i| i.stalled_until <= self.now);
            let reachable: Vec<InstanceId> =
                reachable.map(|i| i.local_instance.instance_id()).collect();
            for command in
                self.coordinator
                    .poll_commands(self.now, &self.log_state, &reachable, 1000.0)
            {
                self.schedule(self.now + COMMIT_DELAY, SimulationEvent::Commit(command));
            }
        }
    }

    fn run_iteration(&mut self, at: usize, inputs: Vec<InstanceInput>) {
        let (effects, ends) = self.instances[at].run_iteration(self.now, inputs);
        for ((subscriber, position), outcome) in ends {
            self.count_end(subscriber, position, outcome);
        }
        for (event, copy, time_out) in effects.calls {
            let duration = self.draw_duration(copy.0);
            let (attempt_outcome, duration) = if duration > time_out {
                (AttemptOutcome::TimedOut, time_out)
            } else {
                (AttemptOutcome::Delivered, duration)
            };
            self.schedule(
                self.now + duration,
                SimulationEvent::Input(
                    at,
                    InstanceInput::CallEnded(event, attempt_outcome, duration),
                ),
            );
        }
        for target in effects.health_checks {
            self.schedule(
                self.now + 30.0,
                SimulationEvent::Input(at, InstanceInput::HealthCheckEnded(target)),
            );
        }
        if let Some(pause) = effects.wake {
            let due = self.now + pause + 0.01;
            if self.instances[at].wake_at.is_none_or(|wake| due < wake) {
                self.instances[at].wake_at = Some(due);
                self.schedule(due, SimulationEvent::Input(at, InstanceInput::Wake));
            }
        }
    }

    fn count_end(&mut self, subscriber: Subscriber, position: Position, outcome: Outcome) {
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

    fn commit(&mut self, command: Command) {
        let moved = match &command {
            Command::Moved { subscriber, .. } => {
                Some((*subscriber, self.log_state.cohort(*subscriber)))
            }
            _ => None,
        };
        let served = matches!(command, Command::Served { .. }) && self.now > 5000.0;
        self.result.cohort_moves += u64::from(served);
        for effect in self.log_state.apply(command.clone()) {
            match effect {
                Effect::Accepted { position, .. } => drop(self.taken.insert(position, self.now)),
                // The copy was rejected before it was submitted; it counts for its subscriber, whichever
                // instance reports it.
                Effect::Assigned {
                    subscriber,
                    position,
                    end: Some(outcome),
                    ..
                } => {
                    self.count_end(subscriber, position, outcome);
                }
                _ => (),
            }
        }
        if let Some((subscriber, _)) = moved.filter(|(s, from)| self.log_state.cohort(*s) != *from)
        {
            self.result.moves += 1;
            self.result.false_moves += u64::from(!self.is_slow(subscriber));
        }
        if command == Command::Tick {
            let judged: Vec<Subscriber> = self.log_state.verdicts().map(|(s, _)| s).collect();
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
