//! Proxies and targets with slots and queues, in virtual time.

mod figures;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};

use crate::common::{once, target, Transcript};
use plankhill_dispatch::{
    AttemptOutcome, AttemptResult, Command, DispatchSettings, Dispatcher, Ms, NewRequest,
    PrefixPart, RequestKey, UpstreamLoad,
};
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::{Target, TargetState};

const ZONES: [&str; 3] = ["x", "y", "z"];
const WAY: Ms = 1.0;
pub const OTHER_ZONE_WAY: Ms = 2.4;
const SHARED_TOKENS: u32 = 2_560;
const TOKENS_PER_MS: f64 = 38.4;

/// A call at a target.
#[derive(Clone, Copy)]
struct Call {
    proxy: usize,
    key: u64,
    sent: Ms,
    subject: Option<u64>,
}

struct Member {
    zone: usize,
    dispatcher: Dispatcher,
    wake_at: Option<Ms>,
}

/// Works on `slots` calls at once, queues `queue` more and rejects the rest.
struct Server {
    id: InstanceId,
    zone: usize,
    slots: usize,
    queue: usize,
    running: usize,
    waiting: VecDeque<Call>,
    read: HashSet<u64>,
    served: usize,
}

enum Happens {
    Arrives(u64),
    Reaches(usize, Call),
    Done(usize, Call),
    Answered(usize, Call, AttemptResult),
    Wakes(usize, Ms),
}

pub struct Fleet {
    now: Ms,
    draws: u64,
    work: Ms,
    proxies: Vec<Member>,
    servers: Vec<Server>,
    agenda: BinaryHeap<Reverse<(u64, u64)>>,
    due: HashMap<u64, Happens>,
    count: u64,
    pub subjects: Option<u64>,
    subject_of: HashMap<u64, u64>,
    pub answered: Vec<Ms>,
    pub rejected: usize,
    /// Shared parts that some target read.
    pub shared_reads: usize,
    /// What was decided, if it is to be compared.
    pub transcript: Option<Transcript>,
}

impl Fleet {
    pub fn new(proxies: usize, servers: usize, slots: usize, queue: usize, work: Ms) -> Self {
        let server = |at: usize| Server {
            id: InstanceId::from(format!("i-{at}").as_str()),
            zone: at % ZONES.len(),
            slots,
            queue,
            running: 0,
            waiting: VecDeque::new(),
            read: HashSet::new(),
            served: 0,
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
            Member {
                zone,
                dispatcher,
                wake_at: None,
            }
        };
        Fleet {
            now: 0.0,
            draws: 1,
            work,
            proxies: (0..proxies).map(proxy).collect(),
            servers,
            agenda: BinaryHeap::new(),
            due: HashMap::new(),
            count: 0,
            subjects: None,
            subject_of: HashMap::new(),
            answered: Vec::new(),
            rejected: 0,
            shared_reads: 0,
            transcript: None,
        }
    }

    /// Other random draws than those of the default.
    #[allow(dead_code)] // the stories use the default
    pub fn seeded(self, seed: u64) -> Self {
        Fleet {
            draws: seed,
            ..self
        }
    }

    fn at(&mut self, when: Ms, happens: Happens) {
        self.count += 1;
        self.due.insert(self.count, happens);
        self.agenda
            .push(Reverse(((when * 1_000.0) as u64, self.count)));
    }

    /// Requests arrive at that rate a second, for some seconds.
    pub fn run(&mut self, rate: f64, seconds: f64) {
        let mut when = 0.0;
        let mut key = 0;
        while when < seconds * 1_000.0 {
            when += self.spread(1_000.0 / rate);
            key += 1;
            self.at(when, Happens::Arrives(key));
        }
        while let Some(Reverse((micros, number))) = self.agenda.pop() {
            self.now = self.now.max(micros as f64 / 1_000.0);
            let happens = self.due.remove(&number).expect("due");
            self.happens(happens);
        }
    }

    fn happens(&mut self, happens: Happens) {
        let now = self.now;
        match happens {
            Happens::Arrives(key) => {
                let proxy = (self.draw() * self.proxies.len() as f64) as usize;
                let prefix = self.prefix(key);
                let new = NewRequest {
                    prefix,
                    ..once(key, now)
                };
                self.proxies[proxy].dispatcher.enqueue(now, new);
                self.round(proxy);
            }
            Happens::Reaches(server, call) => self.reaches(server, call),
            Happens::Done(server, call) => self.done(server, call),
            Happens::Answered(server, call, ended) => {
                let id = self.servers[server].id.clone();
                let ended = AttemptResult {
                    elapsed: now - call.sent,
                    ..ended
                };
                if ended.outcome == AttemptOutcome::Delivered {
                    self.answered.push(ended.elapsed);
                }
                if let Some(transcript) = &mut self.transcript {
                    transcript.ended(call.proxy, now, call.key, id.as_str(), &ended);
                }
                self.proxies[call.proxy].dispatcher.on_attempt_ended(
                    now,
                    RequestKey(call.key),
                    &id,
                    ended,
                );
                self.round(call.proxy);
            }
            Happens::Wakes(proxy, at) if self.proxies[proxy].wake_at == Some(at) => {
                self.round(proxy)
            }
            Happens::Wakes(..) => (),
        }
    }

    /// A shared part, and one of its own; none where the service reads no prompts.
    fn prefix(&mut self, key: u64) -> Vec<PrefixPart> {
        let Some(subjects) = self.subjects else {
            return Vec::new();
        };
        let subject = (self.draw() * subjects as f64) as u64;
        self.subject_of.insert(key, subject);
        let shared = PrefixPart {
            id: subject,
            tokens: SHARED_TOKENS,
        };
        vec![
            shared,
            PrefixPart {
                id: subjects + key,
                tokens: 500,
            },
        ]
    }

    fn way(&self, proxy: usize, server: usize) -> Ms {
        if self.proxies[proxy].zone == self.servers[server].zone {
            WAY
        } else {
            OTHER_ZONE_WAY
        }
    }

    fn round(&mut self, proxy: usize) {
        let now = self.now;
        self.proxies[proxy].wake_at = None;
        let commands = self.proxies[proxy].dispatcher.poll_commands(now);
        if let Some(transcript) = &mut self.transcript {
            transcript.round(proxy, now, &commands);
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
                        .expect("known");
                    let subject = self.subject_of.get(&request.0).copied();
                    let call = Call {
                        proxy,
                        key: request.0,
                        sent: now,
                        subject,
                    };
                    self.at(
                        now + self.way(proxy, server),
                        Happens::Reaches(server, call),
                    );
                }
                Command::Reject { .. } | Command::Fail { .. } => self.rejected += 1,
                Command::WakeAt(at) => {
                    self.proxies[proxy].wake_at = Some(at);
                    self.at(at.max(now) + 0.001, Happens::Wakes(proxy, at));
                }
                _ => (),
            }
        }
    }

    fn reaches(&mut self, at: usize, call: Call) {
        let server = &mut self.servers[at];
        if server.running < server.slots {
            self.starts(at, call);
        } else if server.waiting.len() < server.queue {
            server.waiting.push_back(call);
        } else {
            self.answers(at, call, AttemptOutcome::Rejected);
        }
    }

    fn starts(&mut self, at: usize, call: Call) {
        self.servers[at].running += 1;
        let mut work = self.spread(self.work);
        if let Some(subject) = call.subject {
            let is_new = self.servers[at].read.insert(subject);
            self.shared_reads += usize::from(is_new);
            work += if is_new {
                f64::from(SHARED_TOKENS) / TOKENS_PER_MS
            } else {
                0.0
            };
        }
        self.at(self.now + work, Happens::Done(at, call));
    }

    fn done(&mut self, at: usize, call: Call) {
        self.answers(at, call, AttemptOutcome::Delivered);
        self.servers[at].running -= 1;
        self.servers[at].served += 1;
        if let Some(next) = self.servers[at].waiting.pop_front() {
            self.starts(at, next);
        }
    }

    fn answers(&mut self, at: usize, call: Call, fate: AttemptOutcome) {
        let server = &self.servers[at];
        let load = UpstreamLoad {
            running: server.running as u32,
            waiting: server.waiting.len() as u32,
            slots: server.slots as u32,
        };
        let ended = AttemptResult {
            load: Some(load),
            ..AttemptResult::from_outcome(fate)
        };
        let way = self.way(call.proxy, at);
        self.at(self.now + way, Happens::Answered(at, call, ended));
    }
}
