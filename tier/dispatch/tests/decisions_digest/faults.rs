//! Simulates one proxy with targets that are added, drain, are removed, fail, are slow and recover;
//! requests of two services, with and without sessions and prompts, some of which are cancelled by
//! their clients.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use plankhill_dispatch::{
    AttemptOutcome, AttemptResult, Command, DispatchSettings, Dispatcher, HealthCheckResult,
    Idempotency, Ms, NewRequest, PrefixPart, RequestKey, UpstreamLoad,
};
use plankhill_protocol::ids::{InstanceId, ServiceName, ZoneName};
use plankhill_protocol::tables::{Target, TargetState};

use crate::common::Transcript;
use crate::splitmix64;

const SERVICES: [&str; 2] = ["models", "tools"];
const ZONES: [&str; 3] = ["x", "y", "z"];
const TARGETS: u64 = 10;
const DURATION: Ms = 12_000.0;
const LOW_MAX_REQUESTS: usize = 60;

#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Healthy,
    Slow,
    AtCapacity,
    Failing,
    Unreachable,
    Hanging,
}

struct SimulatedTarget {
    listed: Target,
    condition: Condition,
    attempts: u32,
}

enum Event {
    RequestArrives,
    AttemptEnds {
        key: u64,
        target: String,
        number: u64,
        result: AttemptResult,
    },
    HealthCheckEnds {
        target: String,
        healthy: bool,
    },
    RequestCancelled(u64),
    ConditionChanges,
    EndpointsChange,
    Wake(u64),
}

struct Simulation {
    now: Ms,
    rng_state: u64,
    dispatcher: Dispatcher,
    targets: Vec<SimulatedTarget>,
    last_target: u64,
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    last_number: u64,
    last_key: u64,
    iteration: u64,
    /// Attempts in flight: the target and the number of the attempt.
    in_flight: BTreeMap<u64, (String, u64)>,
    completed: BTreeMap<u64, bool>,
    transcript: Transcript,
}

/// Runs the simulation with this seed; every third seed limits the proxy to few requests.
pub fn run(seed: u64) -> Transcript {
    let max_requests = if seed.is_multiple_of(3) {
        LOW_MAX_REQUESTS
    } else {
        1_000
    };
    let settings = DispatchSettings {
        seed,
        zone: ZoneName::from(ZONES[0]),
        max_requests,
    };
    let mut simulation = Simulation {
        now: 0.0,
        rng_state: splitmix64(seed),
        dispatcher: Dispatcher::new(settings, 0.0),
        targets: Vec::new(),
        last_target: 0,
        event_queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        last_number: 0,
        last_key: 0,
        iteration: 0,
        in_flight: BTreeMap::new(),
        completed: BTreeMap::new(),
        transcript: Transcript::new(),
    };
    for _ in 0..TARGETS {
        simulation.add_target();
    }
    simulation.publish_targets();
    simulation.schedule(1.0, Event::RequestArrives);
    simulation.schedule(500.0, Event::ConditionChanges);
    simulation.schedule(900.0, Event::EndpointsChange);
    simulation.run_events();
    simulation.transcript
}

impl Simulation {
    fn random(&mut self) -> f64 {
        self.rng_state = splitmix64(self.rng_state);
        (self.rng_state >> 11) as f64 / (1u64 << 53) as f64
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        (self.random() * bound as f64) as u64
    }

    fn schedule(&mut self, when: Ms, event: Event) {
        self.last_number += 1;
        self.events.insert(self.last_number, event);
        self.event_queue
            .push(Reverse(((when * 1_000.0).ceil() as u64, self.last_number)));
    }

    fn run_events(&mut self) {
        while let Some(Reverse((micros, number))) = self.event_queue.pop() {
            self.now = micros as f64 / 1_000.0;
            let event = self.events.remove(&number).expect("a scheduled event");
            self.handle(event);
        }
        assert!(self.dispatcher.is_empty(), "every request has an outcome");
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::RequestArrives => {
                self.add_request();
                if now < DURATION {
                    let mean_pause = if ((now / 5_000.0) as u64).is_multiple_of(2) {
                        3.0
                    } else {
                        12.0
                    };
                    let pause = mean_pause * (0.2 + 1.6 * self.random());
                    self.schedule(now + pause, Event::RequestArrives);
                }
            }
            Event::AttemptEnds {
                key,
                target,
                number,
                result,
            } => {
                if self.in_flight.get(&key) != Some(&(target.clone(), number)) {
                    return;
                }
                self.end_attempt(key, &target, result);
            }
            Event::HealthCheckEnds { target, healthy } => {
                let result = if healthy {
                    HealthCheckResult::Healthy
                } else {
                    HealthCheckResult::Unhealthy
                };
                self.dispatcher
                    .on_health_check_ended(&InstanceId::from(target.as_str()), result);
            }
            Event::RequestCancelled(key) => {
                if self.completed.insert(key, true) == Some(true) {
                    return;
                }
                self.transcript.add_line(&format!("withdrawn {key}"));
                self.dispatcher.cancel(RequestKey(key));
                if let Some((target, _)) = self.in_flight.get(&key).cloned() {
                    self.end_attempt(
                        key,
                        &target,
                        AttemptResult::from_outcome(AttemptOutcome::Cancelled),
                    );
                }
            }
            Event::ConditionChanges => {
                self.change_condition();
                if now < DURATION {
                    self.schedule(now + 300.0, Event::ConditionChanges);
                }
                return;
            }
            Event::EndpointsChange => {
                self.change_tables();
                if now < DURATION {
                    self.schedule(now + 700.0, Event::EndpointsChange);
                }
            }
            Event::Wake(number) if number != self.iteration => return,
            Event::Wake(_) => (),
        }
        self.run_iteration();
    }

    fn end_attempt(&mut self, key: u64, target: &str, result: AttemptResult) {
        self.in_flight.remove(&key);
        if let Some(simulated) = self.find_target(target) {
            simulated.attempts -= 1;
        }
        if result.outcome == AttemptOutcome::Delivered {
            self.completed.insert(key, true);
        }
        self.transcript
            .add_result(0, self.now, key, target, &result);
        self.dispatcher.on_attempt_ended(
            self.now,
            RequestKey(key),
            &InstanceId::from(target),
            result,
        );
    }

    fn find_target(&mut self, id: &str) -> Option<&mut SimulatedTarget> {
        self.targets
            .iter_mut()
            .find(|simulated| simulated.listed.id.as_str() == id)
    }

    fn add_request(&mut self) {
        self.last_key += 1;
        let (key, now) = (self.last_key, self.now);
        let deadline = now + 300.0 + 4_000.0 * self.random();
        let has_prompt = self.random_below(2) == 0;
        let session = if self.random_below(3) == 0 {
            Some(self.random_below(12))
        } else {
            None
        };
        let shared_part = self.random_below(4);
        let session_part = session.map_or(1_000 + key, |session| 100 + session);
        let program_time_left = match self.random_below(4) {
            0 => Some(-5.0),
            1 => Some(600.0),
            2 => Some(60_000.0),
            _ => None,
        };
        let new = NewRequest {
            key: RequestKey(key),
            service: ServiceName::from(SERVICES[self.random_below(2) as usize]),
            idempotency: if self.random_below(2) == 0 {
                Idempotency::Idempotent
            } else {
                Idempotency::NonIdempotent
            },
            session,
            deadline,
            latency_target: 50.0 + 450.0 * self.random(),
            max_attempts: 1 + self.random_below(3) as u32,
            route_priority: self.random_below(3) as u8,
            program_time_left,
            prefix: match has_prompt {
                true => vec![
                    PrefixPart {
                        id: shared_part,
                        tokens: 2_000,
                    },
                    PrefixPart {
                        id: session_part,
                        tokens: 300,
                    },
                ],
                false => Vec::new(),
            },
        };
        self.completed.insert(key, false);
        if self.random_below(20) == 0 {
            let when = now + 200.0 * self.random();
            self.schedule(when, Event::RequestCancelled(key));
        }
        self.dispatcher.enqueue(now, new);
    }

    fn run_iteration(&mut self) {
        let now = self.now;
        let commands = self.dispatcher.poll_commands(now);
        self.transcript.add_commands(0, now, &commands);
        self.iteration += 1;
        for command in commands {
            match command {
                Command::Send {
                    request,
                    target,
                    deadline,
                    ..
                } => {
                    self.start_attempt(request.0, target.as_str(), deadline);
                }
                Command::Reject { request, .. } | Command::Fail { request, .. } => {
                    self.completed.insert(request.0, true);
                }
                Command::HealthCheck { target, .. } => self.start_health_check(target.as_str()),
                Command::CloseIdleConnections { .. } => (),
                Command::CancelUnsent { target } => self.cancel_unsent(target.as_str()),
                Command::WakeAt(at) => {
                    let number = self.iteration;
                    self.schedule(at.max(now) + 0.001, Event::Wake(number));
                }
            }
        }
    }

    fn start_attempt(&mut self, key: u64, target: &str, deadline: Ms) {
        self.last_number += 1;
        let number = self.last_number;
        self.in_flight.insert(key, (target.to_owned(), number));
        let service_time = 20.0 + 160.0 * self.random();
        let random = self.random();
        let condition = match self.find_target(target) {
            Some(simulated) => {
                simulated.attempts += 1;
                simulated.condition
            }
            None => Condition::Unreachable,
        };
        let attempts = self
            .find_target(target)
            .map_or(0, |simulated| simulated.attempts);
        let load = UpstreamLoad {
            running: attempts.min(4),
            waiting: attempts.saturating_sub(4),
            slots: 4,
        };
        let (elapsed, outcome) = match condition {
            Condition::Healthy if attempts > 12 => (2.0, AttemptOutcome::Rejected),
            Condition::Healthy if random < 0.02 => (service_time, AttemptOutcome::Reset),
            Condition::Healthy => (service_time, AttemptOutcome::Delivered),
            Condition::Slow => (10.0 * service_time, AttemptOutcome::Delivered),
            Condition::AtCapacity => (2.0, AttemptOutcome::Rejected),
            Condition::Failing if random < 0.7 => (5.0, AttemptOutcome::Error),
            Condition::Failing => (service_time, AttemptOutcome::Delivered),
            Condition::Unreachable if random < 0.5 => (1.0, AttemptOutcome::ConnectFailed),
            Condition::Unreachable => (3.0, AttemptOutcome::Reset),
            Condition::Hanging => (f64::INFINITY, AttemptOutcome::TimedOut),
        };
        let in_time = self.now + elapsed < deadline;
        let at = if in_time {
            self.now + elapsed
        } else {
            deadline
        };
        let outcome = if in_time {
            outcome
        } else {
            AttemptOutcome::TimedOut
        };
        let result = AttemptResult {
            outcome,
            elapsed: at - self.now,
            retry_after: (outcome == AttemptOutcome::Rejected && random < 0.5).then_some(100.0),
            load: (outcome == AttemptOutcome::Delivered || outcome == AttemptOutcome::Rejected)
                .then_some(load),
            longest_pause: (outcome == AttemptOutcome::Delivered).then_some(service_time / 3.0),
        };
        if outcome == AttemptOutcome::Delivered && random < 0.3 {
            self.dispatcher
                .on_load_reported(self.now, &InstanceId::from(target), load);
        }
        self.schedule(
            at,
            Event::AttemptEnds {
                key,
                target: target.to_owned(),
                number,
                result,
            },
        );
    }

    fn start_health_check(&mut self, target: &str) {
        let condition = self
            .find_target(target)
            .map(|simulated| simulated.condition);
        let (after, healthy) = match condition {
            Some(Condition::Healthy | Condition::AtCapacity) => (3.0, true),
            Some(Condition::Slow) => (300.0, true),
            Some(Condition::Failing) => (3.0, false),
            Some(Condition::Unreachable) | None => (1.0, false),
            Some(Condition::Hanging) => (900.0, false),
        };
        self.schedule(
            self.now + after,
            Event::HealthCheckEnds {
                target: target.to_owned(),
                healthy,
            },
        );
    }

    /// Cancels about half of the attempts, as if nothing of them had been written yet.
    fn cancel_unsent(&mut self, target: &str) {
        let attempts: Vec<(u64, u64)> = self
            .in_flight
            .iter()
            .filter(|(_, (to, _))| to == target)
            .map(|(key, (_, number))| (*key, *number))
            .collect();
        for (key, number) in attempts {
            if self.random_below(2) == 0 {
                let result = AttemptResult {
                    elapsed: 1.0,
                    ..AttemptResult::from_outcome(AttemptOutcome::NotSent)
                };
                self.schedule(
                    self.now + 0.5,
                    Event::AttemptEnds {
                        key,
                        target: target.to_owned(),
                        number,
                        result,
                    },
                );
            }
        }
    }

    fn change_condition(&mut self) {
        let at = self.random_below(self.targets.len() as u64) as usize;
        let condition = match self.random_below(12) {
            0 => Condition::Slow,
            1 => Condition::AtCapacity,
            2 => Condition::Failing,
            3 => Condition::Unreachable,
            4 => Condition::Hanging,
            _ => Condition::Healthy,
        };
        self.targets[at].condition = condition;
    }

    /// Changes one target at a time, so that the order of the changes is deterministic.
    fn change_tables(&mut self) {
        let at = self.random_below(self.targets.len() as u64) as usize;
        match self.random_below(4) {
            0 if self.targets.len() > 6 => drop(self.targets.remove(at)),
            1 => self.targets[at].listed.state = TargetState::Draining,
            2 => self.targets[at].listed.state = TargetState::Healthy,
            _ => self.add_target(),
        }
        self.publish_targets();
    }

    fn add_target(&mut self) {
        self.last_target += 1;
        let number = self.last_target;
        let listed = Target {
            id: InstanceId::from(format!("i-{number}").as_str()),
            service: ServiceName::from(SERVICES[number as usize % 2]),
            address: format!("127.0.0.1:{}", 8_000 + number)
                .parse()
                .expect("an address"),
            zone: ZoneName::from(ZONES[number as usize % 3]),
            capacity: 4,
            state: TargetState::Healthy,
            sequence: 1,
            warm_up_remaining_ms: 0,
            models: Vec::new(),
        };
        self.targets.push(SimulatedTarget {
            listed,
            condition: Condition::Healthy,
            attempts: 0,
        });
    }

    fn publish_targets(&mut self) {
        let listed: Vec<Target> = self
            .targets
            .iter()
            .map(|simulated| simulated.listed.clone())
            .collect();
        self.dispatcher.set_targets(&listed);
    }
}
