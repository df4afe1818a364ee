//! Warm-up (slow start): a destination that comes back from an outage takes a part of its usual
//! load first, and more would push it over. The forwarders of a fleet share that part without
//! talking to each other.

use super::context::Context;
use super::tuning::HEALTH_CHECK_INTERVAL;
use crate::interface::Ms;
use crate::state::{Destination, TargetLane};

/// The share of the overload rate that a forwarder allows itself, with its usual traffic for its
/// part of the destination's capacity. 0.6, 0.8 and 1 kept the rules alike and each step paid; a
/// tenth is left for the weight of health checks.
const WARM_UP_BUDGET_SHARE: f64 = 0.9;

/// The time over which random bursts above the budget are allowed for, for all forwarders together.
/// No configuration tells it; in a shorter time one more call is borne a second.
const WARM_UP_BURST_WINDOW: Ms = 3_000.0;

impl Destination {
    /// The calls a second that this forwarder allows itself to a lane that is warming up.
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
        // Two standard deviations of what the whole fleet sends in the window, and two calls.
        let burst = (2.0 * (overload_rate * fleet_window).sqrt() + 2.0) / fleet_window;
        let max_budget = WARM_UP_BUDGET_SHARE * overload_rate + burst;
        let multiplied = budget * lane.warm_up_multiplier.max(1.0);
        Some(multiplied.min(max_budget.max(budget)))
    }
}

impl TargetLane {
    /// The lane warms up from now on, or from the end of a retry-after: a late time-out does not
    /// shorten it.
    pub(super) fn begin_warm_up(&mut self, now: Ms) {
        let since = self.warming_up_since.unwrap_or(now);
        self.warming_up_since = Some(since.max(now).max(self.retry_after_ends));
    }

    /// Whether the lane warms up now. It may have returned later than is taken here, by half of the
    /// longest interval of health checks.
    pub(super) fn is_warming_up(&self, context: &Context) -> bool {
        let config = &context.config;
        let fleet_factor = (config.forwarder_count.sqrt() / 1.5).max(1.0);
        let duration = config.warm_up_duration + 0.6 * HEALTH_CHECK_INTERVAL * fleet_factor;
        match self.warming_up_since {
            Some(since) => config.tuning.paces_calls && context.now - since < duration,
            None => false,
        }
    }

    /// The start of a warm-up that the host has not been asked to record yet. From then on the lane
    /// counts as recorded.
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
