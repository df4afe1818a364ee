//! One proxy before targets that come, drain, go, fail, are slow and recover; requests of two
//! services, with and without sessions and prompts, some of which their clients give up.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use plankhill_dispatch::{
    AttemptOutcome, AttemptResult, Command, DispatchSettings, Dispatcher, HealthCheckResult,
    Idempotency, Ms, NewRequest, PrefixPart, RequestKey, UpstreamLoad,
};
use plankhill_protocol::ids::{InstanceId, ServiceName, ZoneName};
use plankhill_protocol::tables::{Target, TargetState};

use crate::common::Transcript;
use crate::mixed;

const SERVICES: [&str; 2] = ["models", "tools"];
const ZONES: [&str; 3] = ["x", "y", "z"];
const TARGETS: u64 = 10;
const LENGTH: Ms = 12_000.0;
const FEW_REQUESTS: usize = 60;

#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Well,
    Slow,
    Full,
    Failing,
    Dead,
    Hanging,
}

struct Machine {
    listed: Target,
    condition: Condition,
    calls: u32,
}

enum Happens {
    Request,
    AttemptResult {
        key: u64,
        target: String,
        number: u64,
        ended: AttemptResult,
    },
    Pinged {
        target: String,
        healthy: bool,
    },
    Withdrawn(u64),
    ConditionChanges,
    TablesChange,
    Wake(u64),
}

struct World {
    now: Ms,
    draws: u64,
    dispatcher: Dispatcher,
    machines: Vec<Machine>,
    next_machine: u64,
    agenda: BinaryHeap<Reverse<(u64, u64)>>,
    due: BTreeMap<u64, Happens>,
    count: u64,
    keys: u64,
    wake: u64,
    /// Calls that are out: the target and the number of the call.
    out: BTreeMap<u64, (String, u64)>,
    over: BTreeMap<u64, bool>,
    transcript: Transcript,
}

/// Runs the world with that seed; every third one with room for few requests.
pub fn run(seed: u64) -> Transcript {
    let max_requests = if seed.is_multiple_of(3) {
        FEW_REQUESTS
    } else {
        1_000
    };
    let settings = DispatchSettings {
        seed,
        zone: ZoneName::from(ZONES[0]),
        max_requests,
    };
    let mut world = World {
        now: 0.0,
        draws: mixed(seed),
        dispatcher: Dispatcher::new(settings, 0.0),
        machines: Vec::new(),
        next_machine: 0,
        agenda: BinaryHeap::new(),
        due: BTreeMap::new(),
        count: 0,
        keys: 0,
        wake: 0,
        out: BTreeMap::new(),
        over: BTreeMap::new(),
        transcript: Transcript::new(),
    };
    for _ in 0..TARGETS {
        world.add_machine();
    }
    world.list();
    world.at(1.0, Happens::Request);
    world.at(500.0, Happens::ConditionChanges);
    world.at(900.0, Happens::TablesChange);
    world.go_on();
    world.transcript
}

impl World {
    fn draw(&mut self) -> f64 {
        self.draws = mixed(self.draws);
        (self.draws >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, bound: u64) -> u64 {
        (self.draw() * bound as f64) as u64
    }

    fn at(&mut self, when: Ms, happens: Happens) {
        self.count += 1;
        self.due.insert(self.count, happens);
        self.agenda
            .push(Reverse(((when * 1_000.0).ceil() as u64, self.count)));
    }

    fn go_on(&mut self) {
        while let Some(Reverse((micros, number))) = self.agenda.pop() {
            self.now = micros as f64 / 1_000.0;
            let happens = self.due.remove(&number).expect("each number once");
            self.happens(happens);
        }
        assert!(self.dispatcher.is_empty(), "every request ends");
    }

    fn happens(&mut self, happens: Happens) {
        let now = self.now;
        match happens {
            Happens::Request => {
                self.request();
                if now < LENGTH {
                    let rate = if ((now / 5_000.0) as u64).is_multiple_of(2) {
                        3.0
                    } else {
                        12.0
                    };
                    let pause = rate * (0.2 + 1.6 * self.draw());
                    self.at(now + pause, Happens::Request);
                }
            }
            Happens::AttemptResult {
                key,
                target,
                number,
                ended,
            } => {
                if self.out.get(&key) != Some(&(target.clone(), number)) {
                    return;
                }
                self.ends(key, &target, ended);
            }
            Happens::Pinged { target, healthy } => {
                let answer = if healthy {
                    HealthCheckResult::Healthy
                } else {
                    HealthCheckResult::Unhealthy
                };
                self.dispatcher
                    .on_health_check_ended(&InstanceId::from(target.as_str()), answer);
            }
            Happens::Withdrawn(key) => {
                if self.over.insert(key, true) == Some(true) {
                    return;
                }
                self.transcript.line(&format!("withdrawn {key}"));
                self.dispatcher.cancel(RequestKey(key));
                if let Some((target, _)) = self.out.get(&key).cloned() {
                    self.ends(
                        key,
                        &target,
                        AttemptResult::from_outcome(AttemptOutcome::Cancelled),
                    );
                }
            }
            Happens::ConditionChanges => {
                self.change_condition();
                if now < LENGTH {
                    self.at(now + 300.0, Happens::ConditionChanges);
                }
                return;
            }
            Happens::TablesChange => {
                self.change_tables();
                if now < LENGTH {
                    self.at(now + 700.0, Happens::TablesChange);
                }
            }
            Happens::Wake(number) if number != self.wake => return,
            Happens::Wake(_) => (),
        }
        self.round();
    }

    fn ends(&mut self, key: u64, target: &str, ended: AttemptResult) {
        self.out.remove(&key);
        if let Some(machine) = self.machine(target) {
            machine.calls -= 1;
        }
        if ended.outcome == AttemptOutcome::Delivered {
            self.over.insert(key, true);
        }
        self.transcript.ended(0, self.now, key, target, &ended);
        self.dispatcher.on_attempt_ended(
            self.now,
            RequestKey(key),
            &InstanceId::from(target),
            ended,
        );
    }

    fn machine(&mut self, id: &str) -> Option<&mut Machine> {
        self.machines
            .iter_mut()
            .find(|machine| machine.listed.id.as_str() == id)
    }

    fn request(&mut self) {
        self.keys += 1;
        let (key, now) = (self.keys, self.now);
        let deadline = now + 300.0 + 4_000.0 * self.draw();
        let has_prompt = self.below(2) == 0;
        let session = if self.below(3) == 0 {
            Some(self.below(12))
        } else {
            None
        };
        let subject = self.below(4);
        let own = session.map_or(1_000 + key, |session| 100 + session);
        let program_time_left = match self.below(4) {
            0 => Some(-5.0),
            1 => Some(600.0),
            2 => Some(60_000.0),
            _ => None,
        };
        let new = NewRequest {
            key: RequestKey(key),
            service: ServiceName::from(SERVICES[self.below(2) as usize]),
            idempotency: if self.below(2) == 0 {
                Idempotency::Idempotent
            } else {
                Idempotency::NonIdempotent
            },
            session,
            deadline,
            latency_target: 50.0 + 450.0 * self.draw(),
            max_attempts: 1 + self.below(3) as u32,
            route_priority: self.below(3) as u8,
            program_time_left,
            prefix: match has_prompt {
                true => vec![
                    PrefixPart {
                        id: subject,
                        tokens: 2_000,
                    },
                    PrefixPart {
                        id: own,
                        tokens: 300,
                    },
                ],
                false => Vec::new(),
            },
        };
        self.over.insert(key, false);
        if self.below(20) == 0 {
            let when = now + 200.0 * self.draw();
            self.at(when, Happens::Withdrawn(key));
        }
        self.dispatcher.enqueue(now, new);
    }

    fn round(&mut self) {
        let now = self.now;
        let commands = self.dispatcher.poll_commands(now);
        self.transcript.round(0, now, &commands);
        self.wake += 1;
        for command in commands {
            match command {
                Command::Send {
                    request,
                    target,
                    deadline,
                    ..
                } => {
                    self.sends(request.0, target.as_str(), deadline);
                }
                Command::Reject { request, .. } | Command::Fail { request, .. } => {
                    self.over.insert(request.0, true);
                }
                Command::HealthCheck { target, .. } => self.pings(target.as_str()),
                Command::CloseIdleConnections { .. } => (),
                Command::CancelUnsent { target } => self.takes_back(target.as_str()),
                Command::WakeAt(at) => {
                    let number = self.wake;
                    self.at(at.max(now) + 0.001, Happens::Wake(number));
                }
            }
        }
    }

    fn sends(&mut self, key: u64, target: &str, deadline: Ms) {
        self.count += 1;
        let number = self.count;
        self.out.insert(key, (target.to_owned(), number));
        let work = 20.0 + 160.0 * self.draw();
        let chance = self.draw();
        let condition = match self.machine(target) {
            Some(machine) => {
                machine.calls += 1;
                machine.condition
            }
            None => Condition::Dead,
        };
        let calls = self.machine(target).map_or(0, |machine| machine.calls);
        let load = UpstreamLoad {
            running: calls.min(4),
            waiting: calls.saturating_sub(4),
            slots: 4,
        };
        let (took, fate) = match condition {
            Condition::Well if calls > 12 => (2.0, AttemptOutcome::Rejected),
            Condition::Well if chance < 0.02 => (work, AttemptOutcome::Reset),
            Condition::Well => (work, AttemptOutcome::Delivered),
            Condition::Slow => (10.0 * work, AttemptOutcome::Delivered),
            Condition::Full => (2.0, AttemptOutcome::Rejected),
            Condition::Failing if chance < 0.7 => (5.0, AttemptOutcome::Error),
            Condition::Failing => (work, AttemptOutcome::Delivered),
            Condition::Dead if chance < 0.5 => (1.0, AttemptOutcome::ConnectFailed),
            Condition::Dead => (3.0, AttemptOutcome::Reset),
            Condition::Hanging => (f64::INFINITY, AttemptOutcome::TimedOut),
        };
        let in_time = self.now + took < deadline;
        let at = if in_time { self.now + took } else { deadline };
        let fate = if in_time {
            fate
        } else {
            AttemptOutcome::TimedOut
        };
        let ended = AttemptResult {
            outcome: fate,
            elapsed: at - self.now,
            retry_after: (fate == AttemptOutcome::Rejected && chance < 0.5).then_some(100.0),
            load: (fate == AttemptOutcome::Delivered || fate == AttemptOutcome::Rejected)
                .then_some(load),
            longest_pause: (fate == AttemptOutcome::Delivered).then_some(work / 3.0),
        };
        if fate == AttemptOutcome::Delivered && chance < 0.3 {
            self.dispatcher
                .on_load_reported(self.now, &InstanceId::from(target), load);
        }
        self.at(
            at,
            Happens::AttemptResult {
                key,
                target: target.to_owned(),
                number,
                ended,
            },
        );
    }

    fn pings(&mut self, target: &str) {
        let condition = self.machine(target).map(|machine| machine.condition);
        let (after, healthy) = match condition {
            Some(Condition::Well | Condition::Full) => (3.0, true),
            Some(Condition::Slow) => (300.0, true),
            Some(Condition::Failing) => (3.0, false),
            Some(Condition::Dead) | None => (1.0, false),
            Some(Condition::Hanging) => (900.0, false),
        };
        self.at(
            self.now + after,
            Happens::Pinged {
                target: target.to_owned(),
                healthy,
            },
        );
    }

    /// Of half of the calls nothing was written yet.
    fn takes_back(&mut self, target: &str) {
        let calls: Vec<(u64, u64)> = self
            .out
            .iter()
            .filter(|(_, (to, _))| to == target)
            .map(|(key, (_, number))| (*key, *number))
            .collect();
        for (key, number) in calls {
            if self.below(2) == 0 {
                let ended = AttemptResult {
                    elapsed: 1.0,
                    ..AttemptResult::from_outcome(AttemptOutcome::NotSent)
                };
                self.at(
                    self.now + 0.5,
                    Happens::AttemptResult {
                        key,
                        target: target.to_owned(),
                        number,
                        ended,
                    },
                );
            }
        }
    }

    fn change_condition(&mut self) {
        let at = self.below(self.machines.len() as u64) as usize;
        let condition = match self.below(12) {
            0 => Condition::Slow,
            1 => Condition::Full,
            2 => Condition::Failing,
            3 => Condition::Dead,
            4 => Condition::Hanging,
            _ => Condition::Well,
        };
        self.machines[at].condition = condition;
    }

    /// One target at a time, so that the order of the changes is given.
    fn change_tables(&mut self) {
        let at = self.below(self.machines.len() as u64) as usize;
        match self.below(4) {
            0 if self.machines.len() > 6 => drop(self.machines.remove(at)),
            1 => self.machines[at].listed.state = TargetState::Draining,
            2 => self.machines[at].listed.state = TargetState::Healthy,
            _ => self.add_machine(),
        }
        self.list();
    }

    fn add_machine(&mut self) {
        self.next_machine += 1;
        let number = self.next_machine;
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
        self.machines.push(Machine {
            listed,
            condition: Condition::Well,
            calls: 0,
        });
    }

    fn list(&mut self) {
        let listed: Vec<Target> = self
            .machines
            .iter()
            .map(|machine| machine.listed.clone())
            .collect();
        self.dispatcher.set_targets(&listed);
    }
}
