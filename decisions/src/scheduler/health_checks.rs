//! Health checks of offline lanes, and the trial calls that replace them where health checks are
//! not allowed.

use super::context::{jitter, Context, Draw};
use super::tuning::HEALTH_CHECK_INTERVAL;
use super::Scheduler;
use crate::interface::{AttemptOutcome, Effects, InputResult, Ms, TargetId, UnknownId};
use crate::state::{Destination, TargetLane};

impl Scheduler {
    /// Handles the end of a health check of the target.
    ///
    /// # Errors
    ///
    /// [`UnknownId`] if the target was never listed, or has been dropped after its removal from the
    /// list.
    pub fn on_health_check_ended(
        &mut self,
        target: &TargetId,
        outcome: AttemptOutcome,
    ) -> InputResult {
        let &destination_id = self
            .destination_of_target
            .get(target)
            .ok_or(UnknownId("the target"))?;
        let destination = self.destinations.get_mut(&destination_id);
        let destination = destination.expect("a destination is kept while it has targets");
        let lane_index = destination
            .lane_of(target)
            .expect("a target that is mapped to a destination is in it");
        let context = &mut self.context;
        let interval = destination.health_check_interval(context, lane_index);
        // The entire fleet detects a recovery within one interval, so the first calls are spread
        // over the call spacing of a lane that is warming up.
        let spacing = destination.call_spacing(context, lane_index);
        let first_call_delay = spacing * context.draw(Draw::FirstCallAfterHealthCheck);
        let now = context.now;
        let lane = &mut destination.lanes[lane_index];
        lane.health_check_in_flight = false;
        lane.health_check_at = now + interval;
        match outcome {
            AttemptOutcome::Delivered | AttemptOutcome::Rejected => {
                lane.next_call_at = lane
                    .next_call_at
                    .max(now + first_call_delay.min(2.0 * interval));
                lane.mark_online(now);
            }
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Reset
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => lane.begin_warm_up(now),
        }
        self.changed.insert(destination_id);
        Ok(())
    }
}

impl Destination {
    /// Returns the milliseconds between two calls to a lane at its rate limit; 0 without a limit.
    pub(super) fn call_spacing(&self, context: &Context, lane_index: usize) -> Ms {
        match self.rate_limit(context, lane_index) {
            Some(calls_per_second) => 1000.0 / calls_per_second,
            None => 0.0,
        }
    }

    /// Returns the time until the lane's next health check: one second, or longer if the lane's
    /// rate limit requires it. Half of that limit is for health checks and half for the calls that
    /// follow an answered one.
    ///
    /// Each forwarder detects a recovery by its own health checks, so the interval is at most two
    /// thirds of a second times the square root of the fleet size, but at least a second. Half of
    /// that overloaded small destinations; at a tenth of the fleet size, a forwarder detected a
    /// recovery 10 s late.
    pub(super) fn health_check_interval(&self, context: &mut Context, lane_index: usize) -> Ms {
        let spacing = match self.rate_limit(context, lane_index) {
            Some(calls_per_second) => 2000.0 / calls_per_second,
            None => 0.0,
        };
        let max_interval = HEALTH_CHECK_INTERVAL * context.config.forwarder_count.sqrt() / 1.5;
        let interval = spacing.min(max_interval).max(HEALTH_CHECK_INTERVAL);
        interval * jitter(context.draw(Draw::HealthCheckInterval))
    }
}

impl TargetLane {
    /// Returns the time at which the lane's next health check is due. Infinite unless health checks
    /// are allowed, the lane is offline with a running target and no health check in flight, and
    /// the destination has queued events.
    pub(super) fn health_check_due_at(&self, context: &Context, has_queued_events: bool) -> Ms {
        let is_wanted = has_queued_events
            && context.config.health_checks_allowed
            && self.is_offline
            && !self.health_check_in_flight
            && self.is_running();
        if is_wanted {
            self.health_check_at.max(self.retry_after_ends)
        } else {
            f64::INFINITY
        }
    }

    /// Returns the time at which an offline lane accepts a trial call. Infinite where health checks
    /// are allowed, or while a call to the lane is in flight.
    pub(super) fn trial_call_at(&self, context: &Context) -> Ms {
        if context.config.health_checks_allowed || self.has_calls_in_flight() {
            f64::INFINITY
        } else {
            self.health_check_at.max(self.retry_after_ends)
        }
    }

    /// Sends a health check to a randomly drawn running target.
    pub(super) fn send_health_check(&mut self, context: &mut Context, effects: &mut impl Effects) {
        let count = self.running_targets().count();
        let drawn = (context.draw(Draw::HealthCheckTarget) * count as f64) as usize;
        let target = self
            .running_targets()
            .nth(drawn)
            .expect("a due health check has a running target");
        effects.health_check(&target.id);
        self.health_check_in_flight = true;
    }
}
