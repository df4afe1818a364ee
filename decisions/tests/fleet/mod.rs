//! A simulated fleet of forwarders with one destination that fails, recovers and warms up.

mod destination;
mod member;

use std::collections::VecDeque;

use plankhill_decisions::interface::{AttemptOutcome, AttemptReport, DecisionConfig, Ms};

use crate::host::config;
use destination::{Call, Destination};
use member::{Input, Member};

pub use destination::{Peak, Responses};

const STEP: Ms = 20.0;
/// Time window, as in the configuration, over which calls are counted.
const WINDOW: Ms = 3_000.0;
pub const FAILS_AT: Ms = 20_000.0;
pub const RECOVERS_AT: Ms = 26_000.0;
const ENDS_AT: Ms = 37_000.0;
/// Mean service time of a call at a destination with full capacity.
const SERVICE_TIME: Ms = 200.0;
/// The usual traffic as a share of the destination's full capacity.
const LOAD: f64 = 0.9;

/// SplitMix64.
pub struct Random(u64);

impl Random {
    pub fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Distribution of the fleet's traffic over its members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Traffic {
    Even,
    /// The first member gets many times the traffic of the last.
    Skewed,
    /// Half of the members move all of their traffic to the other half at this time.
    MovedAt(Ms),
    /// Half of the members restart while the destination is warming up.
    Restarted,
}

/// An event that its client submits again after a rejection.
struct Resubmission {
    at: Ms,
    member: usize,
    event: String,
}

struct Simulation {
    config: DecisionConfig,
    random: Random,
    destination: Destination,
    members: Vec<Member>,
    traffic: Traffic,
    full_rate: f64,
    resubmissions: VecDeque<Resubmission>,
    events: u64,
    now: Ms,
}

/// Returns the maximum load of any window in the warm-up.
pub fn peak_load(
    fleet_size: usize,
    full_rate: f64,
    responses: Responses,
    traffic: Traffic,
    seed: u64,
) -> Peak {
    let mut simulation = Simulation::new(fleet_size, full_rate, responses, traffic, seed);
    while simulation.now < ENDS_AT {
        simulation.step();
    }
    simulation.destination.peak
}

impl Simulation {
    fn new(
        fleet_size: usize,
        full_rate: f64,
        responses: Responses,
        traffic: Traffic,
        seed: u64,
    ) -> Self {
        let weight = |number: usize| match traffic {
            Traffic::Skewed => 1.0 / (1.0 + number as f64),
            Traffic::Even | Traffic::MovedAt(_) | Traffic::Restarted => 1.0,
        };
        let total: f64 = (0..fleet_size).map(weight).sum();
        let member = |number| Member::new(number, fleet_size, seed, weight(number) / total);
        Simulation {
            config: DecisionConfig {
                forwarder_count: fleet_size as f64,
                ..config()
            },
            random: Random(seed),
            destination: Destination::new(responses, full_rate),
            members: (0..fleet_size).map(member).collect(),
            traffic,
            full_rate,
            resubmissions: VecDeque::new(),
            events: 0,
            now: 0.0,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for response in self
            .destination
            .serve(&mut self.random, self.now, &self.config)
        {
            let input = Input::AttemptEnded(response.event, response.report);
            self.members[response.member].inputs.push(input);
        }
        self.move_traffic();
        let restarts = self.traffic == Traffic::Restarted
            && (self.now - RECOVERS_AT - 2_500.0).abs() < STEP / 2.0;
        for number in 0..self.members.len() {
            if restarts && number % 2 == 0 {
                self.members[number].stop(self.now + 1_000.0);
                self.destination.remove_member(number);
            }
            let new_events = self.new_events(number);
            if self.members[number].is_stopped(self.now) {
                continue;
            }
            for effect in self.members[number].run(self.now, &new_events) {
                self.apply_effect(number, &effect);
            }
        }
    }

    fn move_traffic(&mut self) {
        let Traffic::MovedAt(at) = self.traffic else {
            return;
        };
        if !(at..at + STEP).contains(&self.now) {
            return;
        }
        for member in &mut self.members {
            member.traffic_share *= if member.number % 2 == 0 { 0.0 } else { 2.0 };
        }
    }

    /// Returns the events that clients submit to the member in this step, for the first time or
    /// again.
    fn new_events(&mut self, number: usize) -> Vec<String> {
        let mut new_events = Vec::new();
        let expected = self.full_rate * LOAD * self.members[number].traffic_share * STEP / 1000.0;
        if self.random.draw() < expected {
            self.events += 1;
            new_events.push(format!("e{}", self.events));
        }
        let now = self.now;
        let is_due = |next: &mut Resubmission| next.at <= now && next.member == number;
        while let Some(resubmission) = self.resubmissions.pop_front_if(is_due) {
            new_events.push(resubmission.event);
        }
        new_events
    }

    fn apply_effect(&mut self, number: usize, effect: &str) {
        let words: Vec<&str> = effect.split(' ').collect();
        match words[..] {
            ["send", name, "to", "t"] => self.attempt(number, name),
            ["health-check", "t"] => {
                self.destination.count_arrival(self.now, &self.config);
                let outcome = if Destination::is_down(self.now) {
                    AttemptOutcome::ConnectFailed
                } else {
                    AttemptOutcome::Delivered
                };
                let input = Input::HealthCheckEnded(outcome);
                self.members[number].inputs.push(input);
            }
            ["reject", name] => {
                self.members[number].log_rejection(name);
                if !name.ends_with('r') && self.random.draw() < 0.6 {
                    self.resubmissions.push_back(Resubmission {
                        at: self.now + 1_000.0,
                        member: number,
                        event: format!("{name}r"),
                    });
                }
            }
            _ => (),
        }
    }

    fn attempt(&mut self, number: usize, name: &str) {
        self.destination.count_arrival(self.now, &self.config);
        let waits_until = self.members[number].log_attempt(self.now, name);
        let call = Call {
            member: number,
            event: name.to_owned(),
            arrived_at: self.now,
            waits_until,
        };
        let received = if Destination::is_down(self.now) {
            Err(AttemptOutcome::ConnectFailed)
        } else {
            self.destination.receive(call)
        };
        if let Err(outcome) = received {
            let report = AttemptReport::from_outcome(outcome);
            let input = Input::AttemptEnded(name.to_owned(), report);
            self.members[number].inputs.push(input);
        }
    }
}
