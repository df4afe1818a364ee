//! Warm-up (slow start): a destination that recovers from an outage can initially take only a part
//! of its usual load, and more would overload it. The forwarders of a fleet share that part without
//! communicating with each other.

use super::context::Context;
use super::tuning::HEALTH_CHECK_INTERVAL;
use crate::interface::Ms;
use crate::state::{Destination, TargetLane};

/// Share of the overload rate in a forwarder's budget; the forwarder's usual traffic approximates
/// its part of the destination's capacity. 0.6, 0.8 and 1 complied with the rules equally well, and
/// each increase improved the result; the remaining tenth is reserved for the weight of health
/// checks.
const WARM_UP_BUDGET_SHARE: f64 = 0.9;

/// Time window for random bursts above the budget, over all forwarders together. The configuration
/// does not provide it; over a shorter window, a destination tolerates one more call per second.
const WARM_UP_BURST_WINDOW: Ms = 3_000.0;

impl Destination {
    /// Returns the maximum rate, in calls per second, from this forwarder to a lane that is warming
    /// up; `None` if the lane is not.
    pub(super) fn warm_up_budget(&self, context: &Context, lane_index: usize) -> Option<f64> {
        let lane = &self.lanes[lane_index];
        let since = lane.warming_up_since?;
        if !lane.is_warming_up(context) {
            return None;
        }
        let config = &context.config;
        let progress = ((context.now - since).max(0.0) / config.warm_up_duration).min(1.0);
        let usual = self.usual_rate(context);
        let capacity_share =
            config.warm_up_initial_share + (1.0 - config.warm_up_initial_share) * progress;
        let overload_rate = config.overload_multiple * capacity_share * usual;
        let fleet_window = config.forwarder_count * WARM_UP_BURST_WINDOW / 1000.0;
        let least_budget = 1000.0 / HEALTH_CHECK_INTERVAL / config.forwarder_count;
        let budget = (WARM_UP_BUDGET_SHARE * overload_rate).max(least_budget);
        // Two standard deviations of the number of calls that the entire fleet sends in the window,
        // plus two calls.
        let burst = (2.0 * (overload_rate * fleet_window).sqrt() + 2.0) / fleet_window;
        let max_budget = WARM_UP_BUDGET_SHARE * overload_rate + burst;
        let multiplied = budget * lane.warm_up_multiplier.max(1.0);
        Some(multiplied.min(max_budget.max(budget)))
    }
}

impl TargetLane {
    /// Starts the lane's warm-up now, or at the end of its retry-after if that is later. A start in
    /// the future is never moved to an earlier time, so a late timeout does not shorten the
    /// warm-up.
    pub(super) fn begin_warm_up(&mut self, now: Ms) {
        let since = self.warming_up_since.unwrap_or(now);
        self.warming_up_since = Some(since.max(now).max(self.retry_after_ends));
    }

    /// Returns whether the lane is warming up. The duration is extended because the lane may have
    /// come back later than assumed, by up to half of the longest health check interval.
    pub(super) fn is_warming_up(&self, context: &Context) -> bool {
        let config = &context.config;
        let fleet_factor = (config.forwarder_count.sqrt() / 1.5).max(1.0);
        let duration = config.warm_up_duration + 0.6 * HEALTH_CHECK_INTERVAL * fleet_factor;
        match self.warming_up_since {
            Some(since) => config.tuning.paces_calls && context.now - since < duration,
            None => false,
        }
    }

    /// Returns the start of a warm-up that the host has not been asked to record yet, and marks it
    /// as recorded.
    pub(super) fn take_unrecorded_warm_up(&mut self) -> Option<Ms> {
        let since = self.warming_up_since?;
        let recorded = std::mem::replace(&mut self.recorded_warm_up, since);
        if recorded < since {
            Some(since)
        } else {
            None
        }
    }
}
