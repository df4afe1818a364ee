//! The actual state of destinations: their capacity, their faults, and how far they have warmed up.

use std::collections::VecDeque;

use plankhill_decisions::interface::EndpointState;
use plankhill_forwarder_config::scenario::{FaultKind, Group, Ms, Scenario};

use super::{CallKey, World};
use crate::affected::Affected;
use crate::random::{between, stream, RandomStream};
use crate::rate_limiter::RateLimiter;

pub(super) struct Destination {
    pub group: u32,
    /// The targets that the endpoint list names or named.
    pub targets: Vec<u32>,
}

pub(super) struct Target {
    pub destination: u32,
    pub lane: u32,
    pub zone: u16,
    /// The target's position among its destination's targets.
    pub position: u16,
    pub factor: f64,
    pub busy: u32,
    pub waiting: VecDeque<CallKey>,
    pub connections: u32,
    /// The target's present state in the endpoint list.
    pub listing: EndpointState,
    /// The changes of the endpoint list that concern the target. Before the first, the target is running.
    pub introduced: Vec<(u32, EndpointState)>,
    /// The target is removed and no longer exists.
    pub left: bool,
}

/// The targets that share one limit, one outage and one retry-after.
#[derive(Default)]
pub(super) struct Lane {
    pub destination: u32,
    pub gauge: RateLimiter,
    pub outage: bool,
    pub cold: Option<Box<WarmUp>>,
    pub overloaded_until: Ms,
}

pub(super) struct WarmUp {
    pub since: Ms,
    /// Recent load: time, forwarder and weight.
    pub recent: VecDeque<(Ms, u32, f64)>,
}

/// The present effects of all faults on a target.
#[derive(Clone, Copy)]
pub(super) struct FaultEffects {
    pub down: bool,
    pub silent: bool,
    pub hung: bool,
    pub half_open: bool,
    pub slow: f64,
    pub erring: f64,
    pub resetting: f64,
    pub limit_factor: f64,
}

const NO_FAULT: FaultEffects = FaultEffects {
    down: false,
    silent: false,
    hung: false,
    half_open: false,
    slow: 1.0,
    erring: 0.0,
    resetting: 0.0,
    limit_factor: 1.0,
};

impl FaultEffects {
    /// Whether most calls fail.
    pub(super) fn is_outage(&self) -> bool {
        self.down || self.silent || self.hung || self.erring + self.resetting > 0.5
    }
}

pub(super) fn build(
    scenario: &Scenario,
    affected: &Affected,
    seed: u64,
) -> (Vec<Destination>, Vec<Target>, Vec<Lane>) {
    let mut rng = stream(seed, RandomStream::Targets);
    let mut destinations = Vec::new();
    let mut targets = Vec::new();
    let mut lanes = Vec::new();
    for (at, &group) in affected.groups.iter().enumerate() {
        let of = &scenario.destinations[group as usize];
        let first_lane = lanes.len();
        let first_target = targets.len();
        let destination = at as u32;
        for position in 0..of.targets {
            if position == 0 || of.independent_routes {
                lanes.push(Lane {
                    destination,
                    ..Lane::default()
                });
            }
            let differ = of.answer.target_variation;
            let factor = if differ > 0.0 {
                between(&mut rng, 1.0 - differ, 1.0 + differ)
            } else {
                1.0
            };
            let zone = (at + position) % scenario.network.zones.len();
            let lane = if of.independent_routes {
                lanes.len() - 1
            } else {
                first_lane
            };
            targets.push(Target::new(
                destination,
                lane as u32,
                zone as u16,
                position as u16,
                factor,
            ));
        }
        let list = (first_target..targets.len())
            .map(|target| target as u32)
            .collect();
        destinations.push(Destination {
            group,
            targets: list,
        });
    }
    (destinations, targets, lanes)
}

impl Target {
    pub fn new(destination: u32, lane: u32, zone: u16, position: u16, factor: f64) -> Self {
        Target {
            destination,
            lane,
            zone,
            position,
            factor,
            busy: 0,
            waiting: VecDeque::new(),
            connections: 0,
            listing: EndpointState::Running,
            introduced: Vec::new(),
            left: false,
        }
    }

    /// The target's state as known to a forwarder that has received the first `changes` changes of the
    /// endpoint list.
    pub fn as_of(&self, changes: usize) -> EndpointState {
        let last_known = self
            .introduced
            .iter()
            .rev()
            .find(|(change, _)| (*change as usize) < changes);
        last_known.map_or(EndpointState::Running, |(_, listing)| *listing)
    }
}

impl World<'_> {
    pub(super) fn group_of(&self, destination: u32) -> &Group {
        &self.scenario.destinations[self.destinations[destination as usize].group as usize]
    }

    pub(super) fn fault_effects(&self, target: u32) -> FaultEffects {
        let target_state = &self.targets[target as usize];
        let mut fault_effects = NO_FAULT;
        fault_effects.down =
            target_state.left || self.lanes[target_state.lane as usize].overloaded_until > self.now;
        let Some(active) = self.active.get(&target_state.destination) else {
            return fault_effects;
        };
        for &at in active {
            if !self.covers(at, target) {
                continue;
            }
            let fault = &self.scenario.faults[at as usize];
            match fault.kind {
                FaultKind::Down => fault_effects.down = true,
                FaultKind::Flapping => fault_effects.down |= self.flapped_down[at as usize],
                FaultKind::Silent => fault_effects.silent = true,
                FaultKind::Hung => fault_effects.hung = true,
                FaultKind::HalfOpen => fault_effects.half_open = true,
                FaultKind::Slow => fault_effects.slow *= fault.strength,
                FaultKind::Erring => {
                    fault_effects.erring = fault_effects.erring.max(fault.strength)
                }
                FaultKind::Resetting => {
                    fault_effects.resetting = fault_effects.resetting.max(fault.strength)
                }
                FaultKind::LimitLowered => fault_effects.limit_factor *= fault.strength,
                _ => (),
            }
        }
        fault_effects
    }

    /// Whether a fault that affects the target's destination affects the target too.
    pub(super) fn covers(&self, fault: u16, target: u32) -> bool {
        let scope = &self.scenario.faults[fault as usize].scope;
        let target_state = &self.targets[target as usize];
        let zone = scope
            .zone
            .as_ref()
            .is_none_or(|zone| self.scenario.network.zones[target_state.zone as usize] == *zone);
        let all = self.group_of(target_state.destination).targets as f64;
        zone && scope
            .targets
            .is_none_or(|share| (target_state.position as f64) < (share * all).ceil())
    }

    /// Calls per second that a target serves when it is warmed up and healthy.
    pub(super) fn nominal_rate(&self, target: u32) -> f64 {
        let target_state = &self.targets[target as usize];
        let group = self.group_of(target_state.destination);
        group.servers as f64 * 1000.0 / (group.answer.mean * target_state.factor)
    }

    /// Calls per second that a lane can handle now, with warm-up and faults: bounded by its limit
    /// (`limited`), or by its servers alone.
    pub(super) fn lane_capacity(&self, lane: u32, limited: bool) -> f64 {
        let of = self.lanes[lane as usize].destination;
        let group = self.group_of(of);
        let mut sum = 0.0;
        let mut left: f64 = 1.0;
        for &target in &self.destinations[of as usize].targets {
            let target_state = &self.targets[target as usize];
            let fault_effects = self.fault_effects(target);
            if target_state.lane == lane
                && target_state.listing != EndpointState::Removed
                && !fault_effects.is_outage()
            {
                sum += self.nominal_rate(target) * fault_effects.limit_factor / fault_effects.slow;
                left = left.min(fault_effects.limit_factor);
            }
        }
        let most = if limited {
            RateLimiter::rate(&group.limit) * left
        } else {
            f64::INFINITY
        };
        sum.min(most) * self.warmth(lane)
    }

    pub(super) fn capacity_of(&self, destination: u32) -> f64 {
        let targets = &self.destinations[destination as usize].targets;
        let mut lanes: Vec<u32> = targets
            .iter()
            .map(|target| self.targets[*target as usize].lane)
            .collect();
        lanes.sort_unstable();
        lanes.dedup();
        lanes
            .into_iter()
            .map(|lane| self.lane_capacity(lane, true))
            .sum()
    }
}
