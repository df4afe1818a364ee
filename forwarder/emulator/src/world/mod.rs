//! The simulated day, advanced one step at a time. The submodules contain the parts of the world:
//! the actual state of destinations, calls in flight, forwarders and their processes, and faults.

mod answers;
mod calls;
mod connections;
mod destinations;
mod endpoint_list;
mod faults;
mod iterations;
mod process_start;
mod processes;
mod state;
mod step;
mod submissions;
mod warm_up;

use plankhill_decisions::interface::TargetId;
use plankhill_forwarder_config::scenario::{FaultKind, Ms, Scenario};
use plankhill_invariants::{Bounds, Checker, Observation};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use slotmap::{new_key_type, SlotMap};

use crate::affected::Affected;
use crate::clients::{ClientEvent, Clients};
use crate::deciders::{EventKey, TargetNames};
use crate::outcome::{LossCause, Outcome};
use crate::queue::Queue;
use crate::random::{exponential, stream, AnswerTimes, RandomStream};
use crate::tally::Tally;

use destinations::{Destination, Lane, Target};
use state::{Call, Event, Forwarder};
use step::Step;

new_key_type! { struct CallKey; }

/// A day that is being simulated.
pub struct World<'a> {
    scenario: &'a Scenario,
    now: Ms,
    queue: Queue<Step>,
    clients: Clients<'a>,
    next_arrival: Option<ClientEvent>,
    affected: Affected,
    answers: Vec<AnswerTimes>,
    latency: Vec<Vec<Ms>>,
    destinations: Vec<Destination>,
    targets: Vec<Target>,
    lanes: Vec<Lane>,
    names: TargetNames,
    /// The changes of the endpoint list: time and target.
    changes: Vec<(Ms, u32)>,
    forwarders: Vec<Forwarder>,
    events: SlotMap<EventKey, Event>,
    calls: SlotMap<CallKey, Call>,
    /// Active faults of the destinations that have any.
    active: FxHashMap<u32, Vec<u16>>,
    flapped_down: Vec<bool>,
    retry_storm_factor: f64,
    checker: Checker,
    tally: Tally,
    taken: u64,
    /// Events in transit to a forwarder: clients will submit them again, or they are unread in an
    /// inbox.
    submissions_in_transit: usize,
    /// The simulation ends at this time even if events are still pending: all deadlines are long past.
    ends_at: Ms,
    rng_answers: ChaCha8Rng,
    rng_network: ChaCha8Rng,
    rng_faults: ChaCha8Rng,
    rng_lists: ChaCha8Rng,
    rng_resubmissions: ChaCha8Rng,
    tracks_connections: bool,
}

impl<'a> World<'a> {
    /// Creates the world of a scenario, at the start of the day.
    pub fn new(scenario: &'a Scenario) -> Self {
        let seed = scenario.seed;
        let affected = Affected::new(scenario, seed);
        let rules = &scenario.rules;
        let bounds = Bounds {
            drain_grace: rules.grace,
            key_cooldown: rules.key_cooldown,
            effect_retention: 2.0 * scenario.longest_patience() + 120_000.0,
            ..Bounds::default()
        };
        let (destinations, targets, lanes) = destinations::build(scenario, &affected, seed);
        let names = (0..targets.len())
            .map(|at| TargetId(at.to_string().into()))
            .collect::<Vec<_>>();
        let half_open = scenario
            .faults
            .iter()
            .any(|fault| fault.kind == FaultKind::HalfOpen);
        let mut clients = Clients::new(scenario, &affected, seed);
        let next_arrival = clients.next();
        let mut world = World {
            scenario,
            now: 0.0,
            queue: Queue::default(),
            next_arrival,
            clients,
            answers: scenario
                .destinations
                .iter()
                .map(|group| AnswerTimes::new(&group.answer))
                .collect(),
            latency: latencies(scenario),
            destinations,
            targets,
            lanes,
            names: std::rc::Rc::new(std::cell::RefCell::new(names)),
            changes: Vec::new(),
            forwarders: Vec::new(),
            events: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            active: FxHashMap::default(),
            flapped_down: vec![false; scenario.faults.len()],
            retry_storm_factor: 0.0,
            checker: Checker::new(bounds),
            tally: Tally::new(scenario, &affected),
            taken: 0,
            submissions_in_transit: 0,
            ends_at: scenario.length + 2.0 * scenario.longest_patience() + 60_000.0,
            rng_answers: stream(seed, RandomStream::Answers),
            rng_network: stream(seed, RandomStream::Network),
            rng_faults: stream(seed, RandomStream::Faults),
            rng_lists: stream(seed, RandomStream::Lists),
            rng_resubmissions: stream(seed, RandomStream::Returns),
            affected,
            tracks_connections: half_open,
        };
        world.forwarders = (0..scenario.forwarders.count)
            .map(|at| world.new_forwarder(at as u32))
            .collect();
        world.schedule_faults();
        if let Some(client_event) = &world.next_arrival {
            world.queue.put(client_event.first_at, Step::Arrival);
        }
        world.queue.put(world.tally.series.width, Step::Sample);
        world
    }

    /// Simulates one step. False when the day is over: no submission is left, and every accepted event
    /// is completed.
    pub fn step(&mut self) -> bool {
        let Some((at, step)) = self.queue.pop() else {
            return false;
        };
        let quiet =
            self.events.is_empty() && self.submissions_in_transit == 0 && at > self.scenario.length;
        if quiet || at > self.ends_at {
            self.queue.put(at, step);
            return false;
        }
        self.now = at;
        self.tally.totals.steps += 1;
        self.take_step(step);
        true
    }

    /// Milliseconds since the start of the day.
    pub fn now(&self) -> Ms {
        self.now
    }

    /// Events pending at all forwarders now.
    pub fn pending_events(&self) -> usize {
        self.events.len()
    }

    /// The counts so far.
    pub fn totals(&self) -> &crate::outcome::Totals {
        &self.tally.totals
    }

    /// Ends the day.
    pub fn outcome(mut self) -> Outcome {
        self.checker.finish(self.now);
        // Events that a client would still have submitted, and those that are pending, end with the
        // day.
        let mut left = Vec::new();
        while let Some((_, step)) = self.queue.pop() {
            if let Step::Submit(client_event) = step {
                left.push(*client_event);
            }
        }
        left.extend(
            self.events
                .values()
                .filter(|event| !event.ended)
                .map(|event| event.client_event.clone()),
        );
        for client_event in left {
            self.tally
                .record_loss(self.scenario, &client_event, LossCause::DayOver);
        }
        self.tally
            .outcome(self.scenario, self.scenario.seed, &self.checker)
    }

    fn observe(&mut self, fact: Observation) {
        self.checker.observe(self.now, fact);
    }

    fn submit_next(&mut self) {
        let client_event = self.next_arrival.take().expect("an arrival is scheduled");
        self.next_arrival = self.clients.next();
        if let Some(next) = &self.next_arrival {
            self.queue.put(next.first_at, Step::Arrival);
        }
        self.tally.record_event(self.scenario, &client_event);
        self.submit(client_event);
    }

    /// The one-way latency between two zones in milliseconds, with jitter; `None` if the message is
    /// lost.
    fn travel(&mut self, from: usize, to: usize) -> Option<Ms> {
        let network = &self.scenario.network;
        if network.loss > 0.0 && crate::random::uniform(&mut self.rng_network) < network.loss {
            return None;
        }
        let jitter = if network.jitter > 0.0 {
            exponential(&mut self.rng_network, network.jitter)
        } else {
            0.0
        };
        Some(self.latency[from][to] + jitter)
    }

    fn sample(&mut self) {
        let step = self.tally.step(self.now - 0.5 * self.tally.series.width);
        self.tally.series.held[step] = self.events.len() as u64;
        self.tally.series.out[step] = self.calls.len() as u64;
        let affected = std::mem::take(&mut self.tally.affected);
        let capacity: f64 = affected.iter().map(|at| self.capacity_of(*at)).sum();
        self.tally.affected = affected;
        self.tally.series.capacity[step] = capacity * self.tally.series.width / 1000.0;
        let next = self.now + self.tally.series.width;
        if next <= self.scenario.length * 1.0001 {
            self.queue.put(next, Step::Sample);
        }
    }
}

fn latencies(scenario: &Scenario) -> Vec<Vec<Ms>> {
    let network = &scenario.network;
    let zone_index = |name: &str| {
        network
            .zones
            .iter()
            .position(|zone| zone == name)
            .expect("checked")
    };
    let mut all = vec![vec![network.between; network.zones.len()]; network.zones.len()];
    for (zone, row) in all.iter_mut().enumerate() {
        row[zone] = network.within;
    }
    for pair in &network.pairs {
        all[zone_index(&pair.from)][zone_index(&pair.to)] = pair.latency;
    }
    all
}
