//! The endpoint list: which targets a destination has, and what the list says of them.

use std::collections::HashMap;

use super::context::Context;
use super::Scheduler;
use crate::interface::{DestinationId, DestinationKindId, EndpointState, TargetId, ZoneId};
use crate::state::{Destination, Target, TargetLane};

impl Scheduler {
    /// A complete endpoint list follows: every target that it does not name is removed.
    pub fn on_endpoint_list_replaced(&mut self) {
        for (&id, destination) in &mut self.destinations {
            for lane in &mut destination.lanes {
                for target in &mut lane.targets {
                    target.state = EndpointState::Removed;
                }
            }
            self.changed.insert(id);
        }
    }

    /// What the endpoint list, or an operator, says now of a target that was listed before.
    pub fn set_endpoint_state(&mut self, id: &TargetId, state: EndpointState) {
        let Some(&destination_id) = self.destination_of_target.get(id) else {
            return;
        };
        let destination = self.destinations.get_mut(&destination_id);
        let target = destination.and_then(|destination| destination.target_mut(id));
        target
            .expect("a target that is mapped to a destination is in it")
            .state = state;
        self.changed.insert(destination_id);
    }

    /// The endpoint list names a target. A target that is known already keeps its health; a new one
    /// shares the lane of the others, or has a lane of its own where the kind's routes are
    /// independent.
    ///
    /// # Panics
    ///
    /// If the configuration has no such kind of destination.
    pub fn on_endpoint_listed(
        &mut self,
        id: TargetId,
        destination_id: DestinationId,
        kind: DestinationKindId,
        zone: ZoneId,
        state: EndpointState,
    ) {
        self.destination_of_target
            .insert(id.clone(), destination_id);
        self.changed.insert(destination_id);
        let destination = self.destinations.entry(destination_id).or_default();
        destination.kind = kind;
        if let Some(target) = destination.target_mut(&id) {
            target.state = state;
            return;
        }
        let kinds = &self.context.config.destination_kinds;
        if destination.lanes.is_empty() || kinds[kind.0].independent_routes {
            destination.lanes.push(TargetLane::default());
        }
        let lane = destination
            .lanes
            .last_mut()
            .expect("a lane was pushed if there was none");
        lane.targets.push(Target::new(id, zone, state));
    }

    /// The endpoint list says how many calls a second the destination takes from all forwarders
    /// together.
    pub fn set_advertised_rate(&mut self, destination: DestinationId, calls_per_second: f64) {
        let destination = self.destinations.entry(destination).or_default();
        destination.advertised_rate = calls_per_second.max(0.0);
    }

    /// The target was restarted and serves again: its failures before that say nothing, and what is
    /// new to it has to warm up.
    pub fn on_target_restarted(&mut self, id: &TargetId) {
        let Some(destination_id) = self.destination_of_target.get(id) else {
            return;
        };
        let Some(destination) = self.destinations.get_mut(destination_id) else {
            return;
        };
        let lane = destination
            .lane_of(id)
            .expect("a target that is mapped to a destination is in it");
        let lane = &mut destination.lanes[lane];
        lane.begin_warm_up(self.context.now);
        let target = lane
            .target_mut(id)
            .expect("the lane was found by its target");
        target.consecutive_failures = 0;
        target.ejected_until = 0.0;
    }
}

impl Destination {
    /// Forgets removed targets with their last call, health check, retry-after and warm-up: a
    /// target that comes back under its id before that is still waited for.
    pub(super) fn forget_removed_targets(
        &mut self,
        context: &Context,
        destination_of_target: &mut HashMap<TargetId, DestinationId>,
    ) {
        for lane in &mut self.lanes {
            let is_idle = lane.is_idle(context);
            lane.targets.retain(|target| {
                let is_needed = target.state != EndpointState::Removed
                    || target.calls_in_flight > 0
                    || !is_idle;
                // A target without an entry in the map stays: nothing leads to it any more.
                is_needed || destination_of_target.remove(&target.id).is_none()
            });
        }
        self.lanes.retain(|lane| !lane.targets.is_empty());
    }
}

impl TargetLane {
    /// Nothing is in flight, and no retry-after or warm-up has still to be kept.
    fn is_idle(&self, context: &Context) -> bool {
        let in_flight = self.health_check_in_flight || self.has_calls_in_flight();
        !in_flight && self.retry_after_ends <= context.now && !self.is_warming_up(context)
    }
}
