//! A simulated world of failure detectors: virtual time, delays and losses drawn from a seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use plankhill_membership::datagram::Datagram;
use plankhill_membership::failure_detector::{Action, FailureDetector};
use plankhill_membership::indirect_probes::Requester;
use plankhill_protocol::ids::NodeId;

/// How a machine fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Handles a datagram within a few milliseconds.
    Healthy,
    /// Takes five times as long for everything, and is loaded.
    Slow,
    /// Handles nothing; what comes is lost.
    Failed,
    /// Stands still until this time; what comes waits.
    Frozen(Duration),
}

/// A report of one machine about another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    pub at: Duration,
    pub by: NodeId,
    pub about: NodeId,
}

enum Event {
    Tick(NodeId),
    Arrives {
        from: NodeId,
        to: NodeId,
        datagram: Datagram,
    },
}

/// All machines and what is under way between them.
pub struct World {
    begin: Instant,
    now: Duration,
    random: u64,
    /// Datagrams lost of a thousand.
    pub loss: u64,
    pub health: BTreeMap<NodeId, Health>,
    detectors: BTreeMap<NodeId, FailureDetector>,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    pub reports: Vec<Report>,
    pub sent: u64,
}

impl World {
    pub fn new(machines: usize, seed: u64) -> Self {
        let nodes: Vec<_> = (0..machines)
            .map(|number| NodeId::from(format!("edge-{number}").as_str()))
            .collect();
        let begin = Instant::now();
        let mut world = World {
            begin,
            now: Duration::ZERO,
            random: seed.wrapping_mul(2).wrapping_add(1),
            loss: 0,
            health: nodes
                .iter()
                .map(|node| (node.clone(), Health::Healthy))
                .collect(),
            detectors: BTreeMap::new(),
            events: BTreeMap::new(),
            count: 0,
            reports: Vec::new(),
            sent: 0,
        };
        for node in &nodes {
            let mut detector = FailureDetector::new(node.clone(), begin);
            detector.set_members(nodes.iter());
            world.detectors.insert(node.clone(), detector);
            let offset = Duration::from_millis(world.draw(300));
            world.at(offset, Event::Tick(node.clone()));
        }
        world
    }

    /// The machine with this number.
    pub fn node(&self, number: usize) -> NodeId {
        NodeId::from(format!("edge-{number}").as_str())
    }

    /// How many machines probe this one.
    pub fn detectors_of(&self, node: &NodeId) -> usize {
        self.detectors
            .values()
            .filter(|detector| detector.peers().contains(node))
            .count()
    }

    /// Runs until this time.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                self.at(at, event);
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// When two different machines had reported this one within `window`; None if that never
    /// happened.
    pub fn found(&self, about: &NodeId, window: Duration) -> Option<Duration> {
        let reports: Vec<_> = self
            .reports
            .iter()
            .filter(|report| report.about == *about)
            .collect();
        let agrees = |last: &&&Report| {
            let lately = reports
                .iter()
                .filter(|one| one.at <= last.at && one.at + window >= last.at);
            lately
                .map(|report| &report.by)
                .collect::<BTreeSet<_>>()
                .len()
                >= 2
        };
        reports.iter().find(agrees).map(|report| report.at)
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(node) | Event::Arrives { to: node, .. } => node.clone(),
        };
        match self.health[&node] {
            Health::Failed => return,
            Health::Frozen(until) if self.now < until => return self.at(until, event),
            Health::Healthy | Health::Slow | Health::Frozen(_) => {}
        }
        let now = self.begin + self.now;
        let detector = self.detectors.get_mut(&node).unwrap();
        let actions = match event {
            Event::Tick(_) => {
                let actions = detector.tick(now);
                let next = detector
                    .next_tick()
                    .unwrap()
                    .saturating_duration_since(self.begin);
                let late = self.handling(&node);
                self.at(next.max(self.now) + late, Event::Tick(node.clone()));
                actions
            }
            Event::Arrives { from, datagram, .. } => match datagram {
                Datagram::Probe { sequence, .. } => vec![Action::Ack { to: from, sequence }],
                Datagram::ProbeRequest { sequence, about } => detector
                    .on_probe_request(
                        Requester {
                            node: from,
                            sequence,
                        },
                        about,
                        now,
                    )
                    .into_iter()
                    .collect(),
                Datagram::Ack { sequence } => detector.on_ack(sequence, now).into_iter().collect(),
            },
        };
        for action in actions {
            self.act(&node, action);
        }
    }

    fn act(&mut self, from: &NodeId, action: Action) {
        let (to, datagram) = match action {
            Action::Probe { to, sequence } => (to.clone(), Datagram::Probe { sequence, to }),
            Action::RequestProbe {
                via,
                about,
                sequence,
            } => (via, Datagram::ProbeRequest { sequence, about }),
            Action::Ack { to, sequence } => (to, Datagram::Ack { sequence }),
            Action::Suspect(about) => {
                self.reports.push(Report {
                    at: self.now,
                    by: from.clone(),
                    about,
                });
                return;
            }
        };
        self.sent += 1;
        if self.draw(1_000) < self.loss {
            return;
        }
        let way = Duration::from_micros(1_000 + self.draw(1_000)) + self.handling(&to);
        self.at(
            self.now + way,
            Event::Arrives {
                from: from.clone(),
                to,
                datagram,
            },
        );
    }

    fn handling(&mut self, node: &NodeId) -> Duration {
        let most = match self.health[node] {
            Health::Slow => 25 * 5,
            _ => 25,
        };
        Duration::from_millis(self.draw(most))
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    /// A number under `bound`.
    fn draw(&mut self, bound: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % bound
    }
}
