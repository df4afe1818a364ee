//! What comes in, and what becomes of it: the same for both ways.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{FORWARDERS, MEMBERS, TAKES, TARGETS};

#[derive(Clone, Copy, Debug)]
pub enum Traffic {
    /// All forwarders and members hand in alike.
    Even,
    /// The smallest member hands in five times its part, and forwarders differ up to tenfold.
    Skewed,
    /// One forwarder has two fifths of all.
    Hot,
}

/// How a forwarder gets a connection.
pub trait Way {
    /// Whether a call may go over a connection, `kept` one that is open or a new one.
    fn may(&mut self, now: f64, forwarder: usize, target: usize, member: usize, kept: bool)
        -> bool;
    /// The target refused a new one.
    fn refused(&mut self, now: f64, forwarder: usize, target: usize, member: usize);
    /// The call is over. Whether its connection may stay open.
    fn ended(&mut self, now: f64, forwarder: usize, target: usize, member: usize) -> bool;
    fn idle_closed(&mut self, now: f64, forwarder: usize, target: usize);
    /// Once a step; idle connections that are to be closed at each forwarder and target.
    fn step(&mut self, now: f64) -> Vec<(usize, usize, u32)>;
}

pub struct Seen {
    /// Of what each member handed in.
    pub served: Vec<f64>,
    pub all: f64,
    /// Connections refused by targets, a second.
    pub refused: f64,
    /// The share of what targets take that calls were using.
    pub used: f64,
}

#[derive(Default)]
struct Door {
    /// Member and end of each call.
    out: Vec<(usize, f64)>,
    /// Since when each connection stands idle, the oldest first.
    idle: VecDeque<f64>,
    /// Member, by when it has to be begun, and from when.
    waiting: VecDeque<(usize, f64, f64)>,
}

const STEP: f64 = 10.0;
const LASTS: f64 = 25_000.0;
const WARM_UP: f64 = 10_000.0;
const PATIENCE: f64 = 5_000.0;
/// A call's mean time, and when an idle connection is closed.
const CALL: f64 = 200.0;
const KEPT: f64 = 13_500.0;
/// Of what targets take.
const OFFERED: f64 = 1.2;

fn rates(traffic: Traffic, chance: &mut ChaCha8Rng) -> Vec<Vec<f64>> {
    let total = OFFERED * f64::from(TAKES) * TARGETS as f64 / CALL;
    let members = match traffic {
        Traffic::Even | Traffic::Hot => [1.0, 1.0, 1.0],
        Traffic::Skewed => [1.0, 0.5, 5.0],
    };
    let forwarders: Vec<f64> = (0..FORWARDERS)
        .map(|forwarder| match traffic {
            Traffic::Even => 1.0,
            Traffic::Skewed => chance.random_range(0.1..1.0),
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

/// Twenty seconds after a warm-up, and five in which nothing is counted.
pub fn play(seed: u64, traffic: Traffic, way: &mut dyn Way) -> Seen {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let rates = rates(traffic, &mut chance);
    let mut doors: Vec<Vec<Door>> = (0..FORWARDERS)
        .map(|_| (0..TARGETS).map(|_| Door::default()).collect())
        .collect();
    let (mut handed, mut served) = (vec![0.0; MEMBERS.len()], vec![0.0; MEMBERS.len()]);
    let (mut refused, mut used, mut now) = (0.0, 0.0, 0.0);
    while now < WARM_UP + LASTS {
        now += STEP;
        let counts = now > WARM_UP && now < WARM_UP + LASTS - PATIENCE;
        for (forwarder, target, some) in way.step(now) {
            for _ in 0..some {
                if doors[forwarder][target].idle.pop_front().is_some() {
                    way.idle_closed(now, forwarder, target);
                }
            }
        }
        let mut open: Vec<u32> = (0..TARGETS)
            .map(|target| {
                doors
                    .iter()
                    .map(|all| (all[target].out.len() + all[target].idle.len()) as u32)
                    .sum()
            })
            .collect();
        let first = chance.random_range(0..FORWARDERS);
        for forwarder in (0..FORWARDERS).map(|place| (first + place) % FORWARDERS) {
            for (member, rate) in rates[forwarder].iter().enumerate() {
                let mut more = rate * STEP;
                while chance.random_bool(more.clamp(0.0, 1.0)) {
                    more -= 1.0;
                    let target = chance.random_range(0..TARGETS);
                    doors[forwarder][target]
                        .waiting
                        .push_back((member, now + PATIENCE, now));
                    handed[member] += f64::from(u8::from(counts));
                    if more <= 0.0 {
                        break;
                    }
                }
            }
            for target in 0..TARGETS {
                let door = &mut doors[forwarder][target];
                let (over, out) = door.out.drain(..).partition(|(_, ends)| *ends <= now);
                door.out = out;
                let over: Vec<(usize, f64)> = over;
                for (member, _) in over {
                    served[member] += f64::from(u8::from(counts));
                    if way.ended(now, forwarder, target, member) {
                        door.idle.push_back(now);
                    } else {
                        open[target] -= 1;
                    }
                }
                while door.idle.front().is_some_and(|since| now - since > KEPT) {
                    door.idle.pop_front();
                    open[target] -= 1;
                    way.idle_closed(now, forwarder, target);
                }
                let (mut left, mut full) = (VecDeque::new(), [false; MEMBERS.len()]);
                while let Some((member, by, from)) = door.waiting.pop_front() {
                    let kept = !door.idle.is_empty();
                    if now > by {
                        continue;
                    }
                    full[member] |= now >= from
                        && !full[member]
                        && !way.may(now, forwarder, target, member, kept);
                    if now < from || full[member] {
                        left.push_back((member, by, from));
                        continue;
                    }
                    if !kept && open[target] >= TAKES {
                        refused += f64::from(u8::from(counts));
                        way.refused(now, forwarder, target, member);
                        left.push_back((member, by, now + 500.0));
                        continue;
                    }
                    open[target] += u32::from(!kept);
                    door.idle.pop_back();
                    let took = -CALL * (1.0 - chance.random::<f64>()).ln();
                    door.out.push((member, now + took.max(STEP)));
                }
                door.waiting = left;
                used += if counts { door.out.len() as f64 } else { 0.0 };
            }
        }
    }
    let steps = (LASTS - PATIENCE) / STEP;
    let seconds = (LASTS - PATIENCE) / 1_000.0;
    Seen {
        all: served.iter().sum::<f64>() / handed.iter().sum::<f64>(),
        served: served
            .iter()
            .zip(&handed)
            .map(|(served, handed)| served / handed)
            .collect(),
        refused: refused / seconds,
        used: used / steps / (f64::from(TAKES) * TARGETS as f64),
    }
}
