//! Destinations as they truly are: what they can serve, what is wrong with them, and how cold they are.

use std::collections::VecDeque;

use plankhill::interface::Listing;
use plankhill_rules::Fact;
use plankhill_terms::scenario::{Group, Ms, Scenario, TroubleKind};

use super::{CallKey, Step, World};
use crate::chance::{between, stream, Concern};
use crate::limits::Gauge;
use crate::struck::Struck;

pub(super) struct Destination {
    pub group: u32,
    /// Those that are, or were, named in the list.
    pub targets: Vec<u32>,
}

pub(super) struct Target {
    pub destination: u32,
    pub lane: u32,
    pub zone: u16,
    /// Its place among its destination's targets.
    pub place: u16,
    pub factor: f64,
    pub busy: u32,
    pub waiting: VecDeque<CallKey>,
    pub connections: u32,
    /// As the list says now.
    pub listing: Listing,
    /// By change of the list, from the first; running before.
    pub told: Vec<(u32, Listing)>,
    /// Not there: its place was given up.
    pub left: bool,
}

/// What shares one limit, one outage and one wait.
#[derive(Default)]
pub(super) struct Lane {
    pub destination: u32,
    pub gauge: Gauge,
    pub outage: bool,
    pub cold: Option<Box<Cold>>,
    pub tipped_until: Ms,
}

pub(super) struct Cold {
    pub since: Ms,
    /// What came lately: when, from whom, how much.
    recent: VecDeque<(Ms, u32, f64)>,
}

/// All that troubles do to a target now.
#[derive(Clone, Copy)]
pub(super) struct Plight {
    pub down: bool,
    pub silent: bool,
    pub hung: bool,
    pub half_open: bool,
    pub slow: f64,
    pub erring: f64,
    pub resetting: f64,
    pub left_of_limit: f64,
}

const WELL: Plight = Plight {
    down: false,
    silent: false,
    hung: false,
    half_open: false,
    slow: 1.0,
    erring: 0.0,
    resetting: 0.0,
    left_of_limit: 1.0,
};

impl Plight {
    /// Most calls fail.
    fn is_outage(&self) -> bool {
        self.down || self.silent || self.hung || self.erring + self.resetting > 0.5
    }
}

pub(super) fn build(
    scenario: &Scenario,
    struck: &Struck,
    seed: u64,
) -> (Vec<Destination>, Vec<Target>, Vec<Lane>) {
    let mut chance = stream(seed, Concern::Targets);
    let (mut destinations, mut targets, mut lanes) = (Vec::new(), Vec::new(), Vec::new());
    for (at, &group) in struck.groups.iter().enumerate() {
        let of = &scenario.destinations[group as usize];
        let first_lane = lanes.len();
        let first_target = targets.len();
        let destination = at as u32;
        for place in 0..of.targets {
            if place == 0 || of.routes_apart {
                lanes.push(Lane { destination, ..Lane::default() });
            }
            let differ = of.answer.differ;
            let factor = if differ > 0.0 { between(&mut chance, 1.0 - differ, 1.0 + differ) } else { 1.0 };
            let zone = (at + place) % scenario.network.zones.len();
            let lane = if of.routes_apart { lanes.len() - 1 } else { first_lane };
            targets.push(Target::new(destination, lane as u32, zone as u16, place as u16, factor));
        }
        let list = (first_target..targets.len()).map(|target| target as u32).collect();
        destinations.push(Destination { group, targets: list });
    }
    (destinations, targets, lanes)
}

impl Target {
    pub fn new(destination: u32, lane: u32, zone: u16, place: u16, factor: f64) -> Self {
        Target {
            destination,
            lane,
            zone,
            place,
            factor,
            busy: 0,
            waiting: VecDeque::new(),
            connections: 0,
            listing: Listing::Running,
            told: Vec::new(),
            left: false,
        }
    }

    /// How the list speaks of the target for one that has heard so many changes.
    pub fn as_of(&self, changes: usize) -> Listing {
        let heard = self.told.iter().rev().find(|(change, _)| (*change as usize) < changes);
        heard.map_or(Listing::Running, |(_, listing)| *listing)
    }
}

impl World<'_> {
    pub(super) fn group_of(&self, destination: u32) -> &Group {
        &self.scenario.destinations[self.destinations[destination as usize].group as usize]
    }

    pub(super) fn plight(&self, target: u32) -> Plight {
        let it = &self.targets[target as usize];
        let mut plight = WELL;
        plight.down = it.left || self.lanes[it.lane as usize].tipped_until > self.now;
        let Some(active) = self.active.get(&it.destination) else { return plight };
        for &at in active {
            if !self.covers(at, target) {
                continue;
            }
            let trouble = &self.scenario.troubles[at as usize];
            match trouble.kind {
                TroubleKind::Down => plight.down = true,
                TroubleKind::Flapping => plight.down |= self.flapped_down[at as usize],
                TroubleKind::Silent => plight.silent = true,
                TroubleKind::Hung => plight.hung = true,
                TroubleKind::HalfOpen => plight.half_open = true,
                TroubleKind::Slow => plight.slow *= trouble.strength,
                TroubleKind::Erring => plight.erring = plight.erring.max(trouble.strength),
                TroubleKind::Resetting => plight.resetting = plight.resetting.max(trouble.strength),
                TroubleKind::LimitLowered => plight.left_of_limit *= trouble.strength,
                _ => (),
            }
        }
        plight
    }

    /// Whether the trouble, which strikes the target's destination, strikes the target.
    pub(super) fn covers(&self, trouble: u16, target: u32) -> bool {
        let whom = &self.scenario.troubles[trouble as usize].whom;
        let it = &self.targets[target as usize];
        let zone =
            whom.zone.as_ref().is_none_or(|zone| self.scenario.network.zones[it.zone as usize] == *zone);
        let all = self.group_of(it.destination).targets as f64;
        zone && whom.targets.is_none_or(|share| (it.place as f64) < (share * all).ceil())
    }

    /// Calls a second that a target serves when it is warm and well.
    fn full_pace(&self, target: u32) -> f64 {
        let it = &self.targets[target as usize];
        let group = self.group_of(it.destination);
        group.servers as f64 * 1000.0 / (group.answer.mean * it.factor)
    }

    /// Calls a second that a lane can handle now, cold and troubles counted; with what its limit lets through,
    /// or by its servers alone.
    fn lane_capacity(&self, lane: u32, limited: bool) -> f64 {
        let of = self.lanes[lane as usize].destination;
        let group = self.group_of(of);
        let mut sum = 0.0;
        let mut left: f64 = 1.0;
        for &target in &self.destinations[of as usize].targets {
            let it = &self.targets[target as usize];
            let plight = self.plight(target);
            if it.lane == lane && it.listing != Listing::Gone && !plight.is_outage() {
                sum += self.full_pace(target) * plight.left_of_limit / plight.slow;
                left = left.min(plight.left_of_limit);
            }
        }
        let most = if limited { Gauge::rate(&group.limit) * left } else { f64::INFINITY };
        sum.min(most) * self.warmth(lane)
    }

    pub(super) fn capacity_of(&self, destination: u32) -> f64 {
        let targets = &self.destinations[destination as usize].targets;
        let mut lanes: Vec<u32> = targets.iter().map(|target| self.targets[*target as usize].lane).collect();
        lanes.sort_unstable();
        lanes.dedup();
        lanes.into_iter().map(|lane| self.lane_capacity(lane, true)).sum()
    }

    /// The share of its pace that a lane has, by how long it has been back.
    pub(super) fn warmth(&self, lane: u32) -> f64 {
        let rules = &self.scenario.rules;
        let Some(cold) = &self.lanes[lane as usize].cold else { return 1.0 };
        let back = ((self.now - cold.since) / rules.warm_after).clamp(0.0, 1.0);
        rules.cold_share + (1.0 - rules.cold_share) * back
    }

    /// A call or ping of this weight came to a lane: a cold one may fall over under it.
    pub(super) fn weigh_on(&mut self, lane: u32, forwarder: u32, weight: f64) {
        let rules = &self.scenario.rules;
        let it = &mut self.lanes[lane as usize];
        if it.outage || it.tipped_until > self.now {
            return;
        }
        let Some(cold) = &mut it.cold else { return };
        cold.recent.push_back((self.now, forwarder, weight));
        while cold.recent.front().is_some_and(|(at, ..)| *at <= self.now - rules.tip_span) {
            cold.recent.pop_front();
        }
        let sum: f64 = cold.recent.iter().map(|(.., weight)| weight).sum();
        if sum < rules.tip_least {
            return;
        }
        let of = self.lanes[lane as usize].destination;
        let limited = self.group_of(of).limit.bears_cold;
        let bears = rules.tip_multiple * self.lane_capacity(lane, limited) * rules.tip_span / 1000.0;
        let share = if bears > 0.0 { sum / bears } else { f64::MAX };
        self.tally.totals.cold_load = self.tally.totals.cold_load.max(share);
        if share > 1.0 {
            self.tips(lane);
        }
    }

    fn tips(&mut self, lane: u32) {
        self.tally.totals.tipped += 1;
        let it = &mut self.lanes[lane as usize];
        let cold = it.cold.take().expect("only a cold lane tips");
        it.tipped_until = self.now + self.scenario.rules.tipped;
        it.outage = true;
        let (until, of) = (it.tipped_until, it.destination);
        let mut load: Vec<(u32, f64)> = Vec::new();
        for (_, forwarder, weight) in cold.recent {
            match load.iter_mut().find(|(who, _)| *who == forwarder) {
                Some((_, sum)) => *sum += weight,
                None => load.push((forwarder, weight)),
            }
        }
        self.tell(Fact::Tipped { lane, load });
        self.tell(Fact::OutageBegan { lane });
        self.queue.put(until, Step::Upright(lane));
        self.break_calls(of);
    }

    pub(super) fn upright(&mut self, lane: u32) {
        let of = self.lanes[lane as usize].destination;
        self.note_outages(of);
    }

    /// Something changed at a destination: outages begin and end with it.
    pub(super) fn note_outages(&mut self, destination: u32) {
        let targets = &self.destinations[destination as usize].targets;
        let listed =
            targets.iter().copied().filter(|t| self.targets[*t as usize].listing == Listing::Running);
        let mut lanes: Vec<(u32, bool)> = Vec::new();
        for target in listed {
            let (lane, out) = (self.targets[target as usize].lane, self.plight(target).is_outage());
            match lanes.iter_mut().find(|(known, _)| *known == lane) {
                Some((_, all_out)) => *all_out &= out,
                None => lanes.push((lane, out)),
            }
        }
        for (lane, out) in lanes {
            let it = &mut self.lanes[lane as usize];
            if out && !it.outage {
                (it.outage, it.cold) = (true, None);
                self.tell(Fact::OutageBegan { lane });
            } else if !out && it.outage {
                it.outage = false;
                it.cold = Some(Box::new(Cold { since: self.now, recent: VecDeque::new() }));
                self.queue.put(self.now + self.scenario.rules.warm_after, Step::Warm(lane, self.now));
            }
        }
    }

    pub(super) fn warm(&mut self, lane: u32, since: Ms) {
        let it = &mut self.lanes[lane as usize];
        if it.cold.as_ref().is_some_and(|cold| cold.since == since) {
            it.cold = None;
            self.tell(Fact::Warm { lane });
        }
    }
}
