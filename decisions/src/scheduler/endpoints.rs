//! Endpoint list: the targets of each destination and their listed states.

use std::collections::HashMap;

use super::context::Context;
use super::Scheduler;
use crate::interface::{DestinationId, DestinationKindId, EndpointState, TargetId, ZoneId};
use crate::state::{Destination, Target, TargetLane};

impl Scheduler {
    /// Marks every target as removed. The host then passes the new, complete endpoint list, which
    /// lists the remaining targets again.
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

    /// Sets the state of a target that was listed before, as reported by the endpoint list or an
    /// operator.
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

    /// Adds or updates a target of the endpoint list. A known target keeps its health; a new one
    /// joins the lane of the destination's other targets, or gets a lane of its own if the kind's
    /// routes are independent.
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

    /// Sets the rate, in calls per second, that the destination accepts from all forwarders
    /// together according to the endpoint list.
    pub fn set_advertised_rate(&mut self, destination: DestinationId, calls_per_second: f64) {
        let destination = self.destinations.entry(destination).or_default();
        destination.advertised_rate = calls_per_second.max(0.0);
    }

    /// Handles the restart of a target that serves again: its earlier failures are discarded, and
    /// its lane has to warm up.
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
    /// Drops removed targets once their last call, health check, retry-after and warm-up have
    /// ended. A target that is listed again under its id before that keeps its state.
    pub(super) fn drop_removed_targets(
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
                // A target without an entry in the map is kept: no lookup leads to it any longer.
                is_needed || destination_of_target.remove(&target.id).is_none()
            });
        }
        self.lanes.retain(|lane| !lane.targets.is_empty());
    }
}

impl TargetLane {
    /// Returns whether nothing is in flight and no retry-after or warm-up is still in effect.
    fn is_idle(&self, context: &Context) -> bool {
        let in_flight = self.health_check_in_flight || self.has_calls_in_flight();
        !in_flight && self.retry_after_ends <= context.now && !self.is_warming_up(context)
    }
}
