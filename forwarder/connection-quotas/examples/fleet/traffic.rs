//! The traffic and the simulation loop, which are the same for all strategies.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{FORWARDERS, MAX_CONNECTIONS, MEMBERS, TARGETS};

#[derive(Clone, Copy, Debug)]
pub enum Traffic {
    /// All forwarders and members have the same rate.
    Even,
    /// `small` has five times and `others` half the rate of `large`; the rates of forwarders differ up to tenfold.
    Skewed,
    /// One forwarder has two fifths of all calls.
    Hot,
}

/// A strategy by which forwarders limit their connections.
pub trait ConnectionStrategy {
    /// Whether a call may use a connection: an idle one if `idle` is set, otherwise a new one.
    fn acquire(
        &mut self,
        now: f64,
        forwarder: usize,
        target: usize,
        member: usize,
        idle: bool,
    ) -> bool;
    /// The target refused a new connection.
    fn refused(&mut self, now: f64, forwarder: usize, target: usize, member: usize);
    /// A call has completed. Returns whether its connection may stay open.
    fn completed(&mut self, now: f64, forwarder: usize, target: usize, member: usize) -> bool;
    fn idle_closed(&mut self, now: f64, forwarder: usize, target: usize);
    /// Called once per step. Returns idle connections to close, as forwarder, target and count.
    fn step(&mut self, now: f64) -> Vec<(usize, usize, u32)>;
}

pub struct Results {
    /// The fraction of calls that were served, by member.
    pub served: Vec<f64>,
    /// The fraction of all calls that were served.
    pub all: f64,
    /// Connections refused by targets per second.
    pub refused: f64,
    /// The average fraction of the targets' connections that were in use by calls.
    pub used: f64,
}

#[derive(Default)]
struct Link {
    /// Member and end time of each call in flight.
    in_flight: Vec<(usize, f64)>,
    /// The time since which each connection is idle, the oldest first.
    idle: VecDeque<f64>,
    /// Member, deadline for the start, and earliest start of each waiting call.
    waiting: VecDeque<(usize, f64, f64)>,
}

const STEP_MS: f64 = 10.0;
const DURATION_MS: f64 = 25_000.0;
const WARM_UP_MS: f64 = 10_000.0;
const MAX_WAIT_MS: f64 = 5_000.0;
/// The mean duration of a call.
const MEAN_CALL_MS: f64 = 200.0;
/// The time after which an idle connection is closed.
const IDLE_TIMEOUT_MS: f64 = 13_500.0;
/// Offered load as a multiple of the targets' capacity.
const OFFERED_LOAD: f64 = 1.2;

fn rates(traffic: Traffic, rng: &mut ChaCha8Rng) -> Vec<Vec<f64>> {
    let total = OFFERED_LOAD * f64::from(MAX_CONNECTIONS) * TARGETS as f64 / MEAN_CALL_MS;
    let members = match traffic {
        Traffic::Even | Traffic::Hot => [1.0, 1.0, 1.0],
        Traffic::Skewed => [1.0, 0.5, 5.0],
    };
    let forwarders: Vec<f64> = (0..FORWARDERS)
        .map(|forwarder| match traffic {
            Traffic::Even => 1.0,
            Traffic::Skewed => rng.random_range(0.1..1.0),
            Traffic::Hot if forwarder == 0 => 0.4 / 0.6 * (FORWARDERS - 1) as f64,
            Traffic::Hot => 1.0,
        })
        .collect();
    let (all, sum): (f64, f64) = (members.iter().sum(), forwarders.iter().sum());
    let rate = |forwarder: &f64| {
        members
            .iter()
            .map(|member| total * forwarder / sum * member / all)
            .collect()
    };
    forwarders.iter().map(rate).collect()
}

/// Runs the simulation: a warm-up, twenty seconds of measurement, and five seconds that are not measured.
pub fn simulate(seed: u64, traffic: Traffic, strategy: &mut dyn ConnectionStrategy) -> Results {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rates = rates(traffic, &mut rng);
    let mut links: Vec<Vec<Link>> = (0..FORWARDERS)
        .map(|_| (0..TARGETS).map(|_| Link::default()).collect())
        .collect();
    let (mut offered, mut served) = (vec![0.0; MEMBERS.len()], vec![0.0; MEMBERS.len()]);
    let (mut refused, mut used, mut now) = (0.0, 0.0, 0.0);
    while now < WARM_UP_MS + DURATION_MS {
        now += STEP_MS;
        let is_measured = now > WARM_UP_MS && now < WARM_UP_MS + DURATION_MS - MAX_WAIT_MS;
        for (forwarder, target, count) in strategy.step(now) {
            for _ in 0..count {
                if links[forwarder][target].idle.pop_front().is_some() {
                    strategy.idle_closed(now, forwarder, target);
                }
            }
        }
        let mut open: Vec<u32> = (0..TARGETS)
            .map(|target| {
                links
                    .iter()
                    .map(|all| (all[target].in_flight.len() + all[target].idle.len()) as u32)
                    .sum()
            })
            .collect();
        let first = rng.random_range(0..FORWARDERS);
        for forwarder in (0..FORWARDERS).map(|offset| (first + offset) % FORWARDERS) {
            for (member, rate) in rates[forwarder].iter().enumerate() {
                let mut more = rate * STEP_MS;
                while rng.random_bool(more.clamp(0.0, 1.0)) {
                    more -= 1.0;
                    let target = rng.random_range(0..TARGETS);
                    links[forwarder][target]
                        .waiting
                        .push_back((member, now + MAX_WAIT_MS, now));
                    offered[member] += f64::from(u8::from(is_measured));
                    if more <= 0.0 {
                        break;
                    }
                }
            }
            for target in 0..TARGETS {
                let link = &mut links[forwarder][target];
                let (completed, in_flight) =
                    link.in_flight.drain(..).partition(|(_, ends)| *ends <= now);
                link.in_flight = in_flight;
                let completed: Vec<(usize, f64)> = completed;
                for (member, _) in completed {
                    served[member] += f64::from(u8::from(is_measured));
                    if strategy.completed(now, forwarder, target, member) {
                        link.idle.push_back(now);
                    } else {
                        open[target] -= 1;
                    }
                }
                while link
                    .idle
                    .front()
                    .is_some_and(|since| now - since > IDLE_TIMEOUT_MS)
                {
                    link.idle.pop_front();
                    open[target] -= 1;
                    strategy.idle_closed(now, forwarder, target);
                }
                let (mut left, mut is_exhausted) = (VecDeque::new(), [false; MEMBERS.len()]);
                while let Some((member, deadline, earliest)) = link.waiting.pop_front() {
                    let idle = !link.idle.is_empty();
                    if now > deadline {
                        continue;
                    }
                    is_exhausted[member] |= now >= earliest
                        && !is_exhausted[member]
                        && !strategy.acquire(now, forwarder, target, member, idle);
                    if now < earliest || is_exhausted[member] {
                        left.push_back((member, deadline, earliest));
                        continue;
                    }
                    if !idle && open[target] >= MAX_CONNECTIONS {
                        refused += f64::from(u8::from(is_measured));
                        strategy.refused(now, forwarder, target, member);
                        left.push_back((member, deadline, now + 500.0));
                        continue;
                    }
                    open[target] += u32::from(!idle);
                    link.idle.pop_back();
                    let duration = -MEAN_CALL_MS * (1.0 - rng.random::<f64>()).ln();
                    link.in_flight.push((member, now + duration.max(STEP_MS)));
                }
                link.waiting = left;
                used += if is_measured {
                    link.in_flight.len() as f64
                } else {
                    0.0
                };
            }
        }
    }
    let steps = (DURATION_MS - MAX_WAIT_MS) / STEP_MS;
    let seconds = (DURATION_MS - MAX_WAIT_MS) / 1_000.0;
    Results {
        all: served.iter().sum::<f64>() / offered.iter().sum::<f64>(),
        served: served
            .iter()
            .zip(&offered)
            .map(|(served, offered)| served / offered)
            .collect(),
        refused: refused / seconds,
        used: used / steps / (f64::from(MAX_CONNECTIONS) * TARGETS as f64),
    }
}
