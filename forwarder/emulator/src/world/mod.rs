//! The day itself: what happens next, one step after another. The parts of the world stand in the files
//! beside this one: the destinations as they truly are, calls on their way, forwarders and their lives, and
//! troubles coming and going.

mod answers;
mod calls;
mod clients_side;
mod cold;
mod connections;
mod ground;
mod lists;
mod lives;
mod parts;
mod rounds;
mod starts;
mod step;
mod troubles;

use plankhill_decisions::interface::TargetId;
use plankhill_forwarder_config::scenario::{FaultKind, Ms, Scenario};
use plankhill_invariants::{Bounds, Checker, Observation};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use slotmap::{new_key_type, SlotMap};

use crate::clients::{Clients, Ticket};
use crate::deciders::{EventKey, TargetNames};
use crate::outcome::{LossCause, Outcome};
use crate::queue::Queue;
use crate::random::{exponential, stream, AnswerTimes, RandomStream};
use crate::struck::Struck;
use crate::tally::Tally;

use ground::{Destination, Lane, Target};
use parts::{Call, Event, Forwarder};
use step::Step;

new_key_type! { struct CallKey; }

pub struct World<'a> {
    scenario: &'a Scenario,
    now: Ms,
    queue: Queue<Step>,
    clients: Clients<'a>,
    next_arrival: Option<Ticket>,
    struck: Struck,
    answers: Vec<AnswerTimes>,
    latency: Vec<Vec<Ms>>,
    destinations: Vec<Destination>,
    targets: Vec<Target>,
    lanes: Vec<Lane>,
    names: TargetNames,
    /// The list as it changed: when, and which target.
    changes: Vec<(Ms, u32)>,
    forwarders: Vec<Forwarder>,
    events: SlotMap<EventKey, Event>,
    calls: SlotMap<CallKey, Call>,
    /// Active troubles of the destinations that have any.
    active: FxHashMap<u32, Vec<u16>>,
    flapped_down: Vec<bool>,
    storm: f64,
    checker: Checker,
    tally: Tally,
    taken: u64,
    /// Events on their way to a forwarder: clients mean to hand them in again, or they lie unread.
    coming: usize,
    /// The day ends then, whatever is still open: all patience is long over.
    given_up_at: Ms,
    chance_answers: ChaCha8Rng,
    chance_network: ChaCha8Rng,
    chance_faults: ChaCha8Rng,
    chance_lists: ChaCha8Rng,
    chance_returns: ChaCha8Rng,
    tracks_connections: bool,
}

impl<'a> World<'a> {
    pub fn new(scenario: &'a Scenario) -> Self {
        let seed = scenario.seed;
        let struck = Struck::new(scenario, seed);
        let rules = &scenario.rules;
        let bounds = Bounds {
            drain_grace: rules.grace,
            key_cooldown: rules.key_rest,
            effects_remembered_for: 2.0 * scenario.longest_patience() + 120_000.0,
            ..Bounds::default()
        };
        let (destinations, targets, lanes) = ground::build(scenario, &struck, seed);
        let names = (0..targets.len())
            .map(|at| TargetId(at.to_string().into()))
            .collect::<Vec<_>>();
        let half_open = scenario
            .faults
            .iter()
            .any(|trouble| trouble.kind == FaultKind::HalfOpen);
        let mut clients = Clients::new(scenario, &struck, seed);
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
            storm: 0.0,
            checker: Checker::new(bounds),
            tally: Tally::new(scenario, &struck),
            taken: 0,
            coming: 0,
            given_up_at: scenario.length + 2.0 * scenario.longest_patience() + 60_000.0,
            chance_answers: stream(seed, RandomStream::Answers),
            chance_network: stream(seed, RandomStream::Network),
            chance_faults: stream(seed, RandomStream::Faults),
            chance_lists: stream(seed, RandomStream::Lists),
            chance_returns: stream(seed, RandomStream::Returns),
            struck,
            tracks_connections: half_open,
        };
        world.forwarders = (0..scenario.forwarders.count)
            .map(|at| world.new_forwarder(at as u32))
            .collect();
        world.foresee_troubles();
        if let Some(ticket) = &world.next_arrival {
            world.queue.put(ticket.first_at, Step::Arrival);
        }
        world.queue.put(world.tally.series.width, Step::Sample);
        world
    }

    /// One step; false when the day is over: nothing new comes in then, and what was taken has its end.
    pub fn step(&mut self) -> bool {
        let Some((at, step)) = self.queue.pop() else {
            return false;
        };
        let quiet = self.events.is_empty() && self.coming == 0 && at > self.scenario.length;
        if quiet || at > self.given_up_at {
            self.queue.put(at, step);
            return false;
        }
        self.now = at;
        self.tally.totals.steps += 1;
        self.take_step(step);
        true
    }

    pub fn now(&self) -> Ms {
        self.now
    }

    /// Events held by all forwarders now.
    pub fn held(&self) -> usize {
        self.events.len()
    }

    pub fn totals(&self) -> &crate::outcome::Totals {
        &self.tally.totals
    }

    pub fn outcome(mut self) -> Outcome {
        self.checker.finish(self.now);
        // What no forwarder holds any more but a client still meant to hand in is over with the day.
        let mut left = Vec::new();
        while let Some((_, step)) = self.queue.pop() {
            if let Step::HandIn(ticket) = step {
                left.push(*ticket);
            }
        }
        left.extend(
            self.events
                .values()
                .filter(|event| !event.ended)
                .map(|event| event.ticket.clone()),
        );
        for ticket in left {
            self.tally
                .unpaid(self.scenario, &ticket, LossCause::DayOver);
        }
        self.tally
            .outcome(self.scenario, self.scenario.seed, &self.checker)
    }

    fn tell(&mut self, fact: Observation) {
        self.checker.observe(self.now, fact);
    }

    fn arrival(&mut self) {
        let ticket = self.next_arrival.take().expect("foreseen");
        self.next_arrival = self.clients.next();
        if let Some(next) = &self.next_arrival {
            self.queue.put(next.first_at, Step::Arrival);
        }
        self.tally.asked(self.scenario, &ticket);
        self.hand_in(ticket);
    }

    /// One way between two zones, with jitter; `None` if the message is lost.
    fn travel(&mut self, from: usize, to: usize) -> Option<Ms> {
        let network = &self.scenario.network;
        if network.loss > 0.0 && crate::random::uniform(&mut self.chance_network) < network.loss {
            return None;
        }
        let jitter = if network.jitter > 0.0 {
            exponential(&mut self.chance_network, network.jitter)
        } else {
            0.0
        };
        Some(self.latency[from][to] + jitter)
    }

    fn sample(&mut self) {
        let step = self.tally.step(self.now - 0.5 * self.tally.series.width);
        self.tally.series.held[step] = self.events.len() as u64;
        self.tally.series.out[step] = self.calls.len() as u64;
        let struck = std::mem::take(&mut self.tally.struck);
        let capacity: f64 = struck.iter().map(|at| self.capacity_of(*at)).sum();
        self.tally.struck = struck;
        self.tally.series.capacity[step] = capacity * self.tally.series.width / 1000.0;
        let next = self.now + self.tally.series.width;
        if next <= self.scenario.length * 1.0001 {
            self.queue.put(next, Step::Sample);
        }
    }
}

fn latencies(scenario: &Scenario) -> Vec<Vec<Ms>> {
    let network = &scenario.network;
    let place = |name: &str| {
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
        all[place(&pair.from)][place(&pair.to)] = pair.latency;
    }
    all
}
