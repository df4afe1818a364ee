//! A simulation of several failure detectors in virtual time, with pseudorandom delays and losses.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use plankhill_membership::datagram::Datagram;
use plankhill_membership::failure_detector::{Action, FailureDetector};
use plankhill_membership::indirect_probes::Requester;
use plankhill_protocol::ids::NodeId;

/// The simulated condition of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Processes each datagram and tick within 25 ms.
    Healthy,
    /// Takes up to five times as long as a healthy machine.
    Slow,
    /// Processes nothing; received datagrams are lost.
    Failed,
    /// Processes nothing until this time; received datagrams are queued.
    Frozen(Duration),
}

/// A suspicion that one machine has reported about another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    pub at: Duration,
    pub by: NodeId,
    pub about: NodeId,
}

enum Event {
    Tick(NodeId),
    Delivery {
        from: NodeId,
        to: NodeId,
        datagram: Datagram,
    },
}

/// The simulated machines and the datagrams in flight between them.
pub struct Simulation {
    begin: Instant,
    now: Duration,
    random_state: u64,
    /// Number of datagrams lost per thousand.
    pub loss_per_mille: u64,
    pub health: BTreeMap<NodeId, Health>,
    detectors: BTreeMap<NodeId, FailureDetector>,
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    pub reports: Vec<Report>,
    pub datagrams_sent: u64,
}

impl Simulation {
    pub fn new(machines: usize, seed: u64) -> Self {
        let nodes: Vec<_> = (0..machines)
            .map(|number| NodeId::from(format!("edge-{number}").as_str()))
            .collect();
        let begin = Instant::now();
        let mut simulation = Simulation {
            begin,
            now: Duration::ZERO,
            random_state: seed.wrapping_mul(2).wrapping_add(1),
            loss_per_mille: 0,
            health: nodes
                .iter()
                .map(|node| (node.clone(), Health::Healthy))
                .collect(),
            detectors: BTreeMap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            reports: Vec::new(),
            datagrams_sent: 0,
        };
        for node in &nodes {
            let mut detector = FailureDetector::new(node.clone(), begin);
            detector.set_members(nodes.iter());
            simulation.detectors.insert(node.clone(), detector);
            let offset = Duration::from_millis(simulation.random_below(300));
            simulation.schedule(offset, Event::Tick(node.clone()));
        }
        simulation
    }

    /// Returns the name of the machine with this number.
    pub fn node(&self, number: usize) -> NodeId {
        NodeId::from(format!("edge-{number}").as_str())
    }

    /// Returns the number of machines that probe `node`.
    pub fn monitor_count(&self, node: &NodeId) -> usize {
        self.detectors
            .values()
            .filter(|detector| detector.peers().contains(node))
            .count()
    }

    /// Runs the simulation until the virtual time `end`.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                self.schedule(at, event);
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the first time at which two different machines had reported `about` within `window`;
    /// `None` if that never happened.
    pub fn detected_at(&self, about: &NodeId, window: Duration) -> Option<Duration> {
        let reports: Vec<_> = self
            .reports
            .iter()
            .filter(|report| report.about == *about)
            .collect();
        let is_confirmed = |last: &&&Report| {
            let recent = reports
                .iter()
                .filter(|one| one.at <= last.at && one.at + window >= last.at);
            recent
                .map(|report| &report.by)
                .collect::<BTreeSet<_>>()
                .len()
                >= 2
        };
        reports.iter().find(is_confirmed).map(|report| report.at)
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(node) | Event::Delivery { to: node, .. } => node.clone(),
        };
        match self.health[&node] {
            Health::Failed => return,
            Health::Frozen(until) if self.now < until => return self.schedule(until, event),
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
                let delay = self.processing_delay(&node);
                self.schedule(next.max(self.now) + delay, Event::Tick(node.clone()));
                actions
            }
            Event::Delivery { from, datagram, .. } => match datagram {
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
            self.perform(&node, action);
        }
    }

    fn perform(&mut self, from: &NodeId, action: Action) {
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
        self.datagrams_sent += 1;
        if self.random_below(1_000) < self.loss_per_mille {
            return;
        }
        let delay =
            Duration::from_micros(1_000 + self.random_below(1_000)) + self.processing_delay(&to);
        self.schedule(
            self.now + delay,
            Event::Delivery {
                from: from.clone(),
                to,
                datagram,
            },
        );
    }

    fn processing_delay(&mut self, node: &NodeId) -> Duration {
        let max_delay_ms = match self.health[node] {
            Health::Slow => 25 * 5,
            _ => 25,
        };
        Duration::from_millis(self.random_below(max_delay_ms))
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    /// Returns a pseudorandom number below `bound`.
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % bound
    }
}
