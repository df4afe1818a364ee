//! Destinations back from an outage: how warm a lane is, what weighs on it, and when it tips.

use std::collections::VecDeque;

use plankhill_decisions::interface::EndpointState;
use plankhill_forwarder_config::scenario::Ms;
use plankhill_invariants::Observation;

use super::destinations::WarmUp;
use super::{Step, World};

impl World<'_> {
    /// The share of its pace that a lane has, by how long it has been back.
    pub(super) fn warmth(&self, lane: u32) -> f64 {
        let rules = &self.scenario.rules;
        let Some(cold) = &self.lanes[lane as usize].cold else {
            return 1.0;
        };
        let back = ((self.now - cold.since) / rules.warm_after).clamp(0.0, 1.0);
        rules.cold_share + (1.0 - rules.cold_share) * back
    }

    /// A call or ping of this weight came to a lane: a cold one may fall over under it.
    pub(super) fn add_load(&mut self, lane: u32, forwarder: u32, weight: f64) {
        let rules = &self.scenario.rules;
        let it = &mut self.lanes[lane as usize];
        if it.outage || it.overloaded_until > self.now {
            return;
        }
        let Some(cold) = &mut it.cold else { return };
        cold.recent.push_back((self.now, forwarder, weight));
        while cold
            .recent
            .front()
            .is_some_and(|(at, ..)| *at <= self.now - rules.tip_span)
        {
            cold.recent.pop_front();
        }
        let sum: f64 = cold.recent.iter().map(|(.., weight)| weight).sum();
        if sum < rules.tip_least {
            return;
        }
        let of = self.lanes[lane as usize].destination;
        let limited = self.group_of(of).limit.bears_cold;
        let bears =
            rules.tip_multiple * self.lane_capacity(lane, limited) * rules.tip_span / 1000.0;
        let share = if bears > 0.0 { sum / bears } else { f64::MAX };
        self.tally.totals.cold_load = self.tally.totals.cold_load.max(share);
        if share > 1.0 {
            self.overload(lane);
        }
    }

    pub(super) fn overload(&mut self, lane: u32) {
        self.tally.totals.tipped += 1;
        let it = &mut self.lanes[lane as usize];
        let cold = it.cold.take().expect("only a cold lane tips");
        it.overloaded_until = self.now + self.scenario.rules.tipped;
        it.outage = true;
        let (until, of) = (it.overloaded_until, it.destination);
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
        self.break_calls(of);
    }

    pub(super) fn end_overload(&mut self, lane: u32) {
        let of = self.lanes[lane as usize].destination;
        self.update_outages(of);
    }

    /// Something changed at a destination: outages begin and end with it.
    pub(super) fn update_outages(&mut self, destination: u32) {
        let targets = &self.destinations[destination as usize].targets;
        let listed = targets
            .iter()
            .copied()
            .filter(|t| self.targets[*t as usize].listing == EndpointState::Running);
        let mut lanes: Vec<(u32, bool)> = Vec::new();
        for target in listed {
            let (lane, out) = (
                self.targets[target as usize].lane,
                self.fault_effects(target).is_outage(),
            );
            match lanes.iter_mut().find(|(known, _)| *known == lane) {
                Some((_, all_out)) => *all_out &= out,
                None => lanes.push((lane, out)),
            }
        }
        for (lane, out) in lanes {
            let it = &mut self.lanes[lane as usize];
            if out && !it.outage {
                (it.outage, it.cold) = (true, None);
                self.observe(Observation::OutageBegan { lane });
            } else if !out && it.outage {
                it.outage = false;
                it.cold = Some(Box::new(WarmUp {
                    since: self.now,
                    recent: VecDeque::new(),
                }));
                self.queue.put(
                    self.now + self.scenario.rules.warm_after,
                    Step::WarmedUp(lane, self.now),
                );
            }
        }
    }

    pub(super) fn end_warm_up(&mut self, lane: u32, since: Ms) {
        let it = &mut self.lanes[lane as usize];
        if it.cold.as_ref().is_some_and(|cold| cold.since == since) {
            it.cold = None;
            self.observe(Observation::WarmedUp { lane });
        }
    }
}
