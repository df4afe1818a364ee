//! The events that clients submit, with their times and destinations. The stream depends on the
//! scenario and the seed alone, so that every decider gets the same events.

use std::collections::VecDeque;

use plankhill_forwarder_config::scenario::{FaultKind, Ms, Scenario, Traffic};
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Zipf};

use crate::affected::Affected;
use crate::outcome::LossCause;
use crate::random::{exponential, stream, uniform, RandomStream};

/// An event as its client sees it, over all its submissions.
#[derive(Clone, Debug)]
pub struct ClientEvent {
    pub origin: u64,
    pub destination: u32,
    pub traffic: u8,
    pub key: Option<u64>,
    pub first_at: Ms,
    pub deadline: Ms,
    /// The number of times the event was rejected and submitted again.
    pub resubmissions: u32,
    /// The latest reason why the event was not delivered.
    pub cause: LossCause,
}

/// The value of an event that is delivered at the time `at`.
pub fn value_at(of: &Traffic, first_at: Ms, at: Ms) -> f64 {
    let late =
        ((at - first_at - of.soft_limit) / (of.patience - of.soft_limit).max(1.0)).clamp(0.0, 1.0);
    of.payoff * (1.0 - late * (1.0 - of.payoff_at_end))
}

enum DestinationChoice {
    Weighted(WeightedAliasIndex<f64>, Vec<u32>),
    Each(Vec<u32>, usize),
}

struct Source {
    next_at: Ms,
    ends: Ms,
    /// The mean time between two events at the highest rate.
    gap: Ms,
    /// Whether the rate follows the day's curve.
    varies_over_day: bool,
    left: u64,
    choice: DestinationChoice,
    rng: ChaCha8Rng,
}

pub struct Clients<'a> {
    scenario: &'a Scenario,
    sources: Vec<Source>,
    burst: VecDeque<ClientEvent>,
    traffic: WeightedAliasIndex<f64>,
    keys_of: Vec<f64>,
    rng: ChaCha8Rng,
    origins: u64,
}

impl<'a> Clients<'a> {
    pub fn new(scenario: &'a Scenario, affected: &Affected, seed: u64) -> Self {
        let of = &scenario.clients;
        let all: Vec<u32> = (0..affected.weights.len() as u32).collect();
        let weighted = |list: &[u32]| {
            let weights: Vec<f64> = list
                .iter()
                .map(|at| affected.weights[*at as usize])
                .collect();
            let weights = if weights.iter().sum::<f64>() > 0.0 {
                weights
            } else {
                vec![1.0; list.len()]
            };
            DestinationChoice::Weighted(
                WeightedAliasIndex::new(weights).expect("weights are checked"),
                list.to_vec(),
            )
        };
        let mut sources = Vec::new();
        let mut add = |start: Ms, length: Ms, rate: f64, varies_over_day, left, choice| {
            if rate > 0.0 {
                let rng = stream(
                    seed.wrapping_add(sources.len() as u64),
                    RandomStream::Arrivals,
                );
                let ends = (start + length).min(scenario.length);
                let gap = 1000.0 / rate;
                sources.push(Source {
                    next_at: start,
                    ends,
                    gap,
                    varies_over_day,
                    left,
                    choice,
                    rng,
                });
            }
        };
        add(
            0.0,
            scenario.length,
            of.rate * (1.0 + of.rate_variation),
            of.rate_variation > 0.0,
            u64::MAX,
            weighted(&all),
        );
        for (fault, list) in scenario.faults.iter().zip(&affected.destinations) {
            if list.is_empty() {
                continue;
            }
            match fault.kind {
                FaultKind::Flood => {
                    let rate = of.rate * fault.strength;
                    add(
                        fault.start,
                        fault.length,
                        rate,
                        false,
                        u64::MAX,
                        weighted(list),
                    )
                }
                FaultKind::MassWake => {
                    let events = (list.len() as f64 * fault.strength).round();
                    // Slightly faster than evenly spaced, so that all arrive before the end.
                    let rate = 1050.0 * events / fault.length.max(1.0);
                    let each = DestinationChoice::Each(list.clone(), 0);
                    add(
                        fault.start,
                        fault.length + 1000.0,
                        rate,
                        false,
                        events as u64,
                        each,
                    )
                }
                _ => (),
            }
        }
        for source in &mut sources {
            source.next_at += exponential(&mut source.rng, source.gap);
        }
        let shares = scenario
            .traffic
            .iter()
            .map(|traffic| traffic.share)
            .collect();
        let keys_of = affected
            .weights
            .iter()
            .map(|w| (of.keys as f64 * w).round().max(1.0))
            .collect();
        Clients {
            scenario,
            sources,
            burst: VecDeque::new(),
            traffic: WeightedAliasIndex::new(shares).expect("shares are checked"),
            keys_of,
            rng: stream(seed, RandomStream::Front),
            origins: 0,
        }
    }

    fn client_event(&mut self, destination: u32, at: Ms) -> ClientEvent {
        let traffic = self.traffic.sample(&mut self.rng);
        let of = &self.scenario.traffic[traffic];
        let key = of.ordered.then(|| {
            let keys = self.keys_of[destination as usize];
            let zipf = Zipf::new(keys, self.scenario.clients.key_zipf).expect("checked");
            (destination as u64) << 32 | zipf.sample(&mut self.rng) as u64
        });
        self.origins += 1;
        ClientEvent {
            origin: self.origins,
            destination,
            traffic: traffic as u8,
            key,
            first_at: at,
            deadline: at + of.patience,
            resubmissions: 0,
            cause: LossCause::Waited,
        }
    }
}

/// The events in the order of time; of two sources at one instant the first goes first.
impl Iterator for Clients<'_> {
    type Item = ClientEvent;

    fn next(&mut self) -> Option<ClientEvent> {
        if let Some(client_event) = self.burst.pop_front() {
            return Some(client_event);
        }
        loop {
            let mut first: Option<usize> = None;
            for (at, source) in self.sources.iter().enumerate() {
                let runs = source.next_at < source.ends && source.left > 0;
                if runs && first.is_none_or(|first| source.next_at < self.sources[first].next_at) {
                    first = Some(at);
                }
            }
            let source = &mut self.sources[first?];
            let at = source.next_at;
            source.next_at += exponential(&mut source.rng, source.gap);
            if source.varies_over_day && uniform(&mut source.rng) > share_of_peak(self.scenario, at)
            {
                continue;
            }
            source.left -= 1;
            let destination = match &mut source.choice {
                DestinationChoice::Weighted(weights, list) => list[weights.sample(&mut source.rng)],
                DestinationChoice::Each(list, next) => {
                    *next += 1;
                    list[(*next - 1) % list.len()]
                }
            };
            let of = &self.scenario.clients;
            let is_burst = of.burst_share > 0.0 && uniform(&mut self.rng) < of.burst_share;
            let extra = if is_burst {
                exponential(&mut self.rng, of.burst_size - 1.0).round() as usize
            } else {
                0
            };
            let client_event = self.client_event(destination, at);
            for _ in 0..extra {
                let next = self.client_event(destination, at);
                self.burst.push_back(next);
            }
            return Some(client_event);
        }
    }
}

/// The rate at a time, as a share of the highest rate of the day.
fn share_of_peak(scenario: &Scenario, at: Ms) -> f64 {
    let of = &scenario.clients;
    // A triangle: lowest at both ends of the day, highest in its middle.
    let phase: f64 = (at / of.day).fract();
    let height = 1.0 - 2.0 * (2.0 * phase - 1.0).abs();
    (1.0 + of.rate_variation * height) / (1.0 + of.rate_variation)
}
