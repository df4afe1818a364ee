//! Lanes that recover from an outage: how far a lane has warmed up, its load, and when it is
//! overloaded.

use std::collections::VecDeque;

use plankhill_decisions::interface::EndpointState;
use plankhill_forwarder_config::scenario::Ms;
use plankhill_invariants::Observation;

use super::destinations::WarmUp;
use super::{Step, World};

impl World<'_> {
    /// The share of its capacity that a lane has regained, by the time since its outage.
    pub(super) fn warmth(&self, lane: u32) -> f64 {
        let rules = &self.scenario.rules;
        let Some(cold) = &self.lanes[lane as usize].cold else {
            return 1.0;
        };
        let progress = ((self.now - cold.since) / rules.warm_up_duration).clamp(0.0, 1.0);
        rules.warm_up_initial_share + (1.0 - rules.warm_up_initial_share) * progress
    }

    /// Adds the load of a call or health check to a lane. A lane that is warming up may be overloaded
    /// by it.
    pub(super) fn add_load(&mut self, lane: u32, forwarder: u32, weight: f64) {
        let rules = &self.scenario.rules;
        let lane_state = &mut self.lanes[lane as usize];
        if lane_state.outage || lane_state.overloaded_until > self.now {
            return;
        }
        let Some(cold) = &mut lane_state.cold else {
            return;
        };
        cold.recent.push_back((self.now, forwarder, weight));
        while cold
            .recent
            .front()
            .is_some_and(|(at, ..)| *at <= self.now - rules.overload_window)
        {
            cold.recent.pop_front();
        }
        let sum: f64 = cold.recent.iter().map(|(.., weight)| weight).sum();
        if sum < rules.overload_min_load {
            return;
        }
        let of = self.lanes[lane as usize].destination;
        let limited = self.group_of(of).limit.bounds_warm_up;
        let max_load =
            rules.overload_multiple * self.lane_capacity(lane, limited) * rules.overload_window
                / 1000.0;
        let share = if max_load > 0.0 {
            sum / max_load
        } else {
            f64::MAX
        };
        self.tally.totals.cold_load = self.tally.totals.cold_load.max(share);
        if share > 1.0 {
            self.overload(lane);
        }
    }

    pub(super) fn overload(&mut self, lane: u32) {
        self.tally.totals.tipped += 1;
        let lane_state = &mut self.lanes[lane as usize];
        let cold = lane_state
            .cold
            .take()
            .expect("only a lane that is warming up can be overloaded");
        lane_state.overloaded_until = self.now + self.scenario.rules.overload_duration;
        lane_state.outage = true;
        let until = lane_state.overloaded_until;
        let of = lane_state.destination;
        let mut load: Vec<(u32, f64)> = Vec::new();
        for (_, forwarder, weight) in cold.recent {
            match load.iter_mut().find(|(who, _)| *who == forwarder) {
                Some((_, sum)) => *sum += weight,
                None => load.push((forwarder, weight)),
            }
        }
        self.observe(Observation::Overloaded { lane, load });
        self.observe(Observation::OutageBegan { lane });
        self.queue.put(until, Step::OverloadEnds(lane));
        self.reset_calls(of);
    }

    pub(super) fn end_overload(&mut self, lane: u32) {
        let of = self.lanes[lane as usize].destination;
        self.update_outages(of);
    }

    /// Begins and ends the outages of a destination's lanes after a change there.
    pub(super) fn update_outages(&mut self, destination: u32) {
        let targets = &self.destinations[destination as usize].targets;
        let listed = targets
            .iter()
            .copied()
            .filter(|t| self.targets[*t as usize].listing == EndpointState::Running);
        let mut lanes: Vec<(u32, bool)> = Vec::new();
        for target in listed {
            let lane = self.targets[target as usize].lane;
            let out = self.fault_effects(target).is_outage();
            match lanes.iter_mut().find(|(known, _)| *known == lane) {
                Some((_, all_out)) => *all_out &= out,
                None => lanes.push((lane, out)),
            }
        }
        for (lane, out) in lanes {
            let lane_state = &mut self.lanes[lane as usize];
            if out && !lane_state.outage {
                (lane_state.outage, lane_state.cold) = (true, None);
                self.observe(Observation::OutageBegan { lane });
            } else if !out && lane_state.outage {
                lane_state.outage = false;
                lane_state.cold = Some(Box::new(WarmUp {
                    since: self.now,
                    recent: VecDeque::new(),
                }));
                self.queue.put(
                    self.now + self.scenario.rules.warm_up_duration,
                    Step::WarmedUp(lane, self.now),
                );
            }
        }
    }

    pub(super) fn end_warm_up(&mut self, lane: u32, since: Ms) {
        let lane_state = &mut self.lanes[lane as usize];
        if lane_state
            .cold
            .as_ref()
            .is_some_and(|cold| cold.since == since)
        {
            lane_state.cold = None;
            self.observe(Observation::WarmedUp { lane });
        }
    }
}
