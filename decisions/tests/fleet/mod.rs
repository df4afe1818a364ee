//! A fleet of forwarders that are driven together against one destination, which fails and comes back cold.

mod destination;

use std::collections::{BTreeMap, VecDeque};

use crate::host::*;
pub use destination::*;
use plankhill_decisions::interface::*;

pub const STEP: Ms = 20.0;
pub const SPAN: Ms = 3_000.0; // the settings' time, over which calls are counted
pub const FAILS: Ms = 20_000.0;
pub const BACK: Ms = 26_000.0;
pub const ENDS: Ms = 37_000.0;
pub const WORK: Ms = 200.0;
pub const LOAD: f64 = 0.9; // of what it takes when warm: what usually goes there

pub struct Chance(u64);

impl Chance {
    pub fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Traffic {
    Even,
    Skewed,    // the first gets many times what the last gets
    Moved(Ms), // half of them hand all theirs to the other half at that time
    Restarted, // half of them restart while it is cold
}

#[derive(Clone)]
pub struct Held {
    pub ends: Ms,
    pub sends: u32,
    pub out: bool,
}

pub struct Member {
    pub host: Host,
    pub share: f64,
    pub held: BTreeMap<String, Held>,
    pub came_in: Vec<CameIn>,
    pub back_at: Ms,
}

pub enum CameIn {
    Ended(String, AttemptReport),
    Pinged(AttemptOutcome),
}

pub fn member(instance: u64, fleet: f64, seed: u64, now: Ms) -> Host {
    let mut host = Host::new(|terms| {
        (terms.seed, terms.instance, terms.forwarder_count) = (seed, instance, fleet);
        (terms.max_calls_in_flight, terms.event_capacity) = (200, 400);
    });
    host.idle(now);
    host
}

/// The largest share of the bound that any span came to.
pub fn worst(
    fleet: usize,
    full_rate: f64,
    answers: Answers,
    traffic: Traffic,
    seed: u64,
) -> (f64, String) {
    let mut chance = Chance(seed);
    let terms = DecisionConfig {
        forwarder_count: fleet as f64,
        ..terms()
    };
    let weight = |n: usize| {
        if traffic == Traffic::Skewed {
            1.0 / (1.0 + n as f64)
        } else {
            1.0
        }
    };
    let all: f64 = (0..fleet).map(weight).sum();
    let mut members: Vec<Member> = (0..fleet)
        .map(|n| Member {
            host: member(n as u64, fleet as f64, seed, 0.0),
            share: weight(n) / all,
            held: BTreeMap::new(),
            came_in: Vec::new(),
            back_at: 0.0,
        })
        .collect();
    let mut to = Destination {
        answers,
        full_rate,
        working: Vec::new(),
        queue: VecDeque::new(),
        came: VecDeque::new(),
        worst: (0.0, String::new()),
    };
    let mut again: VecDeque<(Ms, usize, String)> = VecDeque::new();
    let (mut number, mut now) = (0, 0.0);
    while now < ENDS {
        now += STEP;
        works(&mut to, &mut members, &mut chance, now, &terms);
        if matches!(traffic, Traffic::Moved(at) if (at..at + STEP).contains(&now)) {
            for (n, member) in members.iter_mut().enumerate() {
                member.share *= if n % 2 == 0 { 0.0 } else { 2.0 };
            }
        }
        let restarts = traffic == Traffic::Restarted && (now - BACK - 2_500.0).abs() < STEP / 2.0;
        for (n, member) in members.iter_mut().enumerate() {
            if restarts && n % 2 == 0 {
                member.back_at = now + 1_000.0;
                member.came_in.clear();
                to.working.iter_mut().for_each(|(_, call)| {
                    call.waits = if call.from == n { 0.0 } else { call.waits }
                });
                to.queue.retain(|call| call.from != n);
            }
            let mut fresh: Vec<String> = Vec::new();
            if chance.draw() < full_rate * LOAD * member.share * STEP / 1000.0 {
                number += 1;
                fresh.push(format!("e{number}"));
            }
            while again.front().is_some_and(|(at, ..)| *at <= now) && again[0].1 == n {
                fresh.extend(again.pop_front().map(|(_, _, name)| name));
            }
            if now < member.back_at {
                continue;
            }
            let told = round(member, n, now, fresh, seed, fleet);
            for word in told {
                let words: Vec<&str> = word.split(' ').collect();
                match words[..] {
                    ["send", name, "to", "t"] => {
                        to.count(now, &terms);
                        let held = member.held.get_mut(name).expect("held");
                        (held.sends, held.out) = (held.sends + 1, true);
                        let waits = now + member.host.given;
                        let call = Call {
                            from: n,
                            name: name.to_owned(),
                            came: now,
                            waits,
                        };
                        if Destination::is_down(now) {
                            member.came_in.push(CameIn::Ended(
                                call.name,
                                AttemptReport::from_outcome(AttemptOutcome::ConnectFailed),
                            ));
                        } else if to.queue.len() >= to.queue_takes() {
                            member.came_in.push(CameIn::Ended(
                                call.name,
                                AttemptReport::from_outcome(AttemptOutcome::Rejected),
                            ));
                        } else {
                            to.queue.push_back(call);
                        }
                    }
                    ["ping", "t"] => {
                        to.count(now, &terms);
                        let fate = if Destination::is_down(now) {
                            AttemptOutcome::ConnectFailed
                        } else {
                            AttemptOutcome::Delivered
                        };
                        member.came_in.push(CameIn::Pinged(fate));
                    }
                    ["dismiss", name] => {
                        member.held.remove(name);
                        if !name.ends_with('r') && chance.draw() < 0.6 {
                            again.push_back((now + 1_000.0, n, format!("{name}r")));
                        }
                    }
                    _ => (),
                }
            }
        }
    }
    to.worst
}

pub fn round(
    member: &mut Member,
    n: usize,
    now: Ms,
    fresh: Vec<String>,
    seed: u64,
    fleet: usize,
) -> Vec<String> {
    if member.back_at > 0.0 {
        let noted = std::mem::take(&mut member.host.cold);
        member.host = self::member(n as u64, fleet as f64, seed, now);
        member.back_at = 0.0;
        let held = &member.held;
        let told = member.host.at(now, |f| {
            noted
                .iter()
                .for_each(|(target, since, usual)| f.restore_warm_up(target, *since, *usual));
            for (name, held) in held {
                f.accept_event(event(name), DestinationId(1), RETRIABLE, held.ends, None);
                let may_have_run = held.out.then_some((now, ZoneId(0)));
                f.restore_attempts(&event(name), held.sends, may_have_run, held.out);
            }
        });
        member.held.values_mut().for_each(|held| held.out = false);
        return told;
    }
    let came_in = std::mem::take(&mut member.came_in);
    for name in &fresh {
        member.held.insert(
            name.clone(),
            Held {
                ends: now + 20_000.0,
                sends: 0,
                out: false,
            },
        );
    }
    for came_in in &came_in {
        if let CameIn::Ended(name, ended) = came_in {
            if ended.outcome == AttemptOutcome::Delivered {
                member.held.remove(name);
            } else if let Some(held) = member.held.get_mut(name) {
                held.out = false;
            }
        }
    }
    member.host.at(now, |f| {
        for came_in in came_in {
            match came_in {
                CameIn::Ended(name, ended) => {
                    f.on_attempt_ended(&event(&name), ended).expect("was sent")
                }
                CameIn::Pinged(fate) => f
                    .on_health_check_ended(&target("t"), fate)
                    .expect("was listed"),
            }
        }
        for name in fresh {
            f.accept_event(
                event(&name),
                DestinationId(1),
                RETRIABLE,
                now + 20_000.0,
                None,
            );
        }
    })
}
