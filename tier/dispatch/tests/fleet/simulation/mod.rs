//! Simulation of proxies and of targets with slots and queues, in virtual time.

mod statistics;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};

use crate::common::{non_idempotent_request, target, Transcript};
use plankhill_dispatch::{
    AttemptOutcome, AttemptResult, Command, DispatchSettings, Dispatcher, Ms, NewRequest,
    PrefixPart, RequestKey, UpstreamLoad,
};
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::{Target, TargetState};

const ZONES: [&str; 3] = ["x", "y", "z"];
const OWN_ZONE_LATENCY: Ms = 1.0;
pub const OTHER_ZONE_LATENCY: Ms = 2.4;
const SHARED_TOKENS: u32 = 2_560;
const TOKENS_PER_MS: f64 = 38.4;

/// An attempt at a server.
#[derive(Clone, Copy)]
struct Attempt {
    proxy: usize,
    key: u64,
    sent: Ms,
    shared_prefix: Option<u64>,
}

struct SimulatedProxy {
    zone: usize,
    dispatcher: Dispatcher,
    wake_at: Option<Ms>,
}

/// A simulated target: executes `slots` attempts at once, queues `queue` more and rejects the rest.
struct Server {
    id: InstanceId,
    zone: usize,
    slots: usize,
    queue: usize,
    running: usize,
    waiting: VecDeque<Attempt>,
    prefilled: HashSet<u64>,
    completed: usize,
}

enum Event {
    RequestArrives(u64),
    AttemptArrives(usize, Attempt),
    AttemptCompletes(usize, Attempt),
    ResponseArrives(usize, Attempt, AttemptResult),
    WakeUp(usize, Ms),
}

pub struct Fleet {
    now: Ms,
    rng_state: u64,
    mean_service_time: Ms,
    proxies: Vec<SimulatedProxy>,
    servers: Vec<Server>,
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    last_number: u64,
    pub shared_prefix_count: Option<u64>,
    shared_prefix_of: HashMap<u64, u64>,
    pub response_times: Vec<Ms>,
    pub rejected: usize,
    /// Number of times that a server prefilled a shared part.
    pub shared_prefills: usize,
    /// The decisions, if they are to be compared.
    pub transcript: Option<Transcript>,
}

impl Fleet {
    pub fn new(
        proxies: usize,
        servers: usize,
        slots: usize,
        queue: usize,
        mean_service_time: Ms,
    ) -> Self {
        let server = |at: usize| Server {
            id: InstanceId::from(format!("i-{at}").as_str()),
            zone: at % ZONES.len(),
            slots,
            queue,
            running: 0,
            waiting: VecDeque::new(),
            prefilled: HashSet::new(),
            completed: 0,
        };
        let servers: Vec<Server> = (0..servers).map(server).collect();
        let listed: Vec<Target> = servers
            .iter()
            .map(|server| Target {
                capacity: slots as u32,
                ..target(server.id.as_str(), ZONES[server.zone], TargetState::Healthy)
            })
            .collect();
        let proxy = |at: usize| {
            let zone = at % ZONES.len();
            let settings = DispatchSettings {
                seed: at as u64,
                zone: ZONES[zone].into(),
                max_requests: 1_000,
            };
            let mut dispatcher = Dispatcher::new(settings, 0.0);
            dispatcher.set_targets(&listed);
            SimulatedProxy {
                zone,
                dispatcher,
                wake_at: None,
            }
        };
        Fleet {
            now: 0.0,
            rng_state: 1,
            mean_service_time,
            proxies: (0..proxies).map(proxy).collect(),
            servers,
            event_queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_number: 0,
            shared_prefix_count: None,
            shared_prefix_of: HashMap::new(),
            response_times: Vec::new(),
            rejected: 0,
            shared_prefills: 0,
            transcript: None,
        }
    }

    /// Replaces the default seed of the random numbers.
    #[allow(dead_code)] // only used by the digests
    pub fn with_seed(self, seed: u64) -> Self {
        Fleet {
            rng_state: seed,
            ..self
        }
    }

    fn schedule(&mut self, when: Ms, event: Event) {
        self.last_number += 1;
        self.events.insert(self.last_number, event);
        self.event_queue
            .push(Reverse(((when * 1_000.0) as u64, self.last_number)));
    }

    /// Runs the simulation with `rate` requests per second for `seconds`.
    pub fn run(&mut self, rate: f64, seconds: f64) {
        let mut when = 0.0;
        let mut key = 0;
        while when < seconds * 1_000.0 {
            when += self.exponential(1_000.0 / rate);
            key += 1;
            self.schedule(when, Event::RequestArrives(key));
        }
        while let Some(Reverse((micros, number))) = self.event_queue.pop() {
            self.now = self.now.max(micros as f64 / 1_000.0);
            let event = self.events.remove(&number).expect("a scheduled event");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::RequestArrives(key) => {
                let proxy = (self.random() * self.proxies.len() as f64) as usize;
                let prefix = self.prefix(key);
                let new = NewRequest {
                    prefix,
                    ..non_idempotent_request(key, now)
                };
                self.proxies[proxy].dispatcher.enqueue(now, new);
                self.run_iteration(proxy);
            }
            Event::AttemptArrives(server, attempt) => self.receive(server, attempt),
            Event::AttemptCompletes(server, attempt) => self.complete(server, attempt),
            Event::ResponseArrives(server, attempt, result) => {
                let id = self.servers[server].id.clone();
                let result = AttemptResult {
                    elapsed: now - attempt.sent,
                    ..result
                };
                if result.outcome == AttemptOutcome::Delivered {
                    self.response_times.push(result.elapsed);
                }
                if let Some(transcript) = &mut self.transcript {
                    transcript.add_result(attempt.proxy, now, attempt.key, id.as_str(), &result);
                }
                self.proxies[attempt.proxy].dispatcher.on_attempt_ended(
                    now,
                    RequestKey(attempt.key),
                    &id,
                    result,
                );
                self.run_iteration(attempt.proxy);
            }
            Event::WakeUp(proxy, at) if self.proxies[proxy].wake_at == Some(at) => {
                self.run_iteration(proxy)
            }
            Event::WakeUp(..) => (),
        }
    }

    /// A shared part and a part of the request's own; no parts if the service has no prompts.
    fn prefix(&mut self, key: u64) -> Vec<PrefixPart> {
        let Some(shared_prefix_count) = self.shared_prefix_count else {
            return Vec::new();
        };
        let shared_prefix = (self.random() * shared_prefix_count as f64) as u64;
        self.shared_prefix_of.insert(key, shared_prefix);
        let shared = PrefixPart {
            id: shared_prefix,
            tokens: SHARED_TOKENS,
        };
        vec![
            shared,
            PrefixPart {
                id: shared_prefix_count + key,
                tokens: 500,
            },
        ]
    }

    fn latency(&self, proxy: usize, server: usize) -> Ms {
        if self.proxies[proxy].zone == self.servers[server].zone {
            OWN_ZONE_LATENCY
        } else {
            OTHER_ZONE_LATENCY
        }
    }

    fn run_iteration(&mut self, proxy: usize) {
        let now = self.now;
        self.proxies[proxy].wake_at = None;
        let commands = self.proxies[proxy].dispatcher.poll_commands(now);
        if let Some(transcript) = &mut self.transcript {
            transcript.add_commands(proxy, now, &commands);
        }
        for command in commands {
            match command {
                Command::Send {
                    request, target, ..
                } => {
                    let server = self
                        .servers
                        .iter()
                        .position(|server| server.id == target)
                        .expect("a known server");
                    let shared_prefix = self.shared_prefix_of.get(&request.0).copied();
                    let attempt = Attempt {
                        proxy,
                        key: request.0,
                        sent: now,
                        shared_prefix,
                    };
                    self.schedule(
                        now + self.latency(proxy, server),
                        Event::AttemptArrives(server, attempt),
                    );
                }
                Command::Reject { .. } | Command::Fail { .. } => self.rejected += 1,
                Command::WakeAt(at) => {
                    self.proxies[proxy].wake_at = Some(at);
                    self.schedule(at.max(now) + 0.001, Event::WakeUp(proxy, at));
                }
                _ => (),
            }
        }
    }

    fn receive(&mut self, server_index: usize, attempt: Attempt) {
        let server = &mut self.servers[server_index];
        if server.running < server.slots {
            self.start(server_index, attempt);
        } else if server.waiting.len() < server.queue {
            server.waiting.push_back(attempt);
        } else {
            self.respond(server_index, attempt, AttemptOutcome::Rejected);
        }
    }

    fn start(&mut self, server_index: usize, attempt: Attempt) {
        self.servers[server_index].running += 1;
        let mut service_time = self.exponential(self.mean_service_time);
        if let Some(shared_prefix) = attempt.shared_prefix {
            let is_new = self.servers[server_index].prefilled.insert(shared_prefix);
            self.shared_prefills += usize::from(is_new);
            service_time += if is_new {
                f64::from(SHARED_TOKENS) / TOKENS_PER_MS
            } else {
                0.0
            };
        }
        self.schedule(
            self.now + service_time,
            Event::AttemptCompletes(server_index, attempt),
        );
    }

    fn complete(&mut self, server_index: usize, attempt: Attempt) {
        self.respond(server_index, attempt, AttemptOutcome::Delivered);
        self.servers[server_index].running -= 1;
        self.servers[server_index].completed += 1;
        if let Some(next) = self.servers[server_index].waiting.pop_front() {
            self.start(server_index, next);
        }
    }

    fn respond(&mut self, server_index: usize, attempt: Attempt, outcome: AttemptOutcome) {
        let server = &self.servers[server_index];
        let load = UpstreamLoad {
            running: server.running as u32,
            waiting: server.waiting.len() as u32,
            slots: server.slots as u32,
        };
        let result = AttemptResult {
            load: Some(load),
            ..AttemptResult::from_outcome(outcome)
        };
        let latency = self.latency(attempt.proxy, server_index);
        self.schedule(
            self.now + latency,
            Event::ResponseArrives(server_index, attempt, result),
        );
    }
}
