//! Rate limit of this forwarder's calls to a lane, and the lane's usual traffic.
//!
//! A limit applies after recent rejections, and while a destination is warming up (`warm_up`).

use super::context::Context;
use super::tuning::{FREQUENT_CALLS_PER_SECOND, USUAL_TRAFFIC_WINDOW};
use crate::interface::Ms;
use crate::state::{DecayingSum, Destination, Pace};

/// Duration for which a rejection limits the rate.
const PACE_TTL: Ms = 20_000.0;

/// Growth of a pace per second.
const PACE_RECOVERY_PER_SECOND: f64 = 0.08;

/// Upper bound of the advertised rate, as a multiple of the counted rate. With one event per
/// minute, the counted rate can be several times too low or too high; an advertised rate a hundred
/// times the counted one is wrong.
const MAX_ADVERTISED_TO_COUNTED: f64 = 4.0;

/// Time without traffic that is assumed before the start. Otherwise, a single burst after the start
/// would count as usual traffic.
const ASSUMED_QUIET_TIME: Ms = 2_000.0;

impl Destination {
    /// Returns the maximum rate, in calls per second, from this forwarder to a lane; `None` if no
    /// limit applies.
    pub(super) fn rate_limit(&self, context: &Context, lane_index: usize) -> Option<f64> {
        let mut calls_per_second = f64::INFINITY;
        if let Some(pace) = self.current_pace(context, lane_index) {
            calls_per_second = self.paced_rate(context, pace);
        }
        if let Some(budget) = self.warm_up_budget(context, lane_index) {
            calls_per_second = calls_per_second.min(budget);
        }
        if calls_per_second.is_finite() {
            Some(calls_per_second)
        } else {
            None
        }
    }

    fn current_pace(&self, context: &Context, lane_index: usize) -> Option<Pace> {
        let pace = self.lanes[lane_index].pace?;
        let is_current = context.now - pace.set_at < PACE_TTL;
        if context.config.tuning.paces_calls && is_current {
            Some(pace)
        } else {
            None
        }
    }

    /// Returns the pace that a rejection set, increased over the time since then: by a share of
    /// itself and, where calls are frequent, by a share of the usual rate as well.
    fn paced_rate(&self, context: &Context, pace: Pace) -> f64 {
        let accepted_per_second = self.usual_rate_per_lane(context, &self.accepted_events);
        let goal = pace.calls_per_second.max(accepted_per_second);
        let seconds = (context.now - pace.set_at) / 1000.0;
        let frequency = (goal / FREQUENT_CALLS_PER_SECOND - 1.0).max(0.0);
        let grown = pace.calls_per_second * (PACE_RECOVERY_PER_SECOND * seconds).exp()
            + PACE_RECOVERY_PER_SECOND * goal * frequency * seconds;
        // All forwarders share the advertised rate equally, so an equal part of it is never taken
        // from another forwarder.
        grown.max(self.advertised_rate / context.config.forwarder_count / self.running_lane_count())
    }

    /// Returns the usual rate of each lane, in calls per second: the current rate, or the rate
    /// before a warm-up, which an earlier process may have recorded.
    ///
    /// The counted rate is the rate of accepted events or, if lower, 1.5 times the rate of calls,
    /// because a call may carry several events (with a margin of one half, because calls are few).
    /// Events that are submitted again during an outage are not usual traffic. The equal part of
    /// the advertised rate is, up to a multiple of the counted rate.
    pub(super) fn usual_rate(&self, context: &Context) -> f64 {
        let accepted = self.usual_rate_per_lane(context, &self.accepted_events);
        let called = self.usual_rate_per_lane(context, &self.sent_calls);
        let counted = accepted.min(1.5 * called);
        let even_part =
            self.advertised_rate / context.config.forwarder_count / self.running_lane_count();
        let advertised = even_part.min(MAX_ADVERTISED_TO_COUNTED * counted);
        let recorded = &self.usual_before_warm_up;
        let age = context.now - recorded.recorded_at;
        let before_warm_up = recorded.calls_per_second * (-age / USUAL_TRAFFIC_WINDOW).exp();
        counted.max(before_warm_up).max(advertised)
    }

    fn usual_rate_per_lane(&self, context: &Context, sum: &DecayingSum) -> f64 {
        let observed_time = context.now - context.started_at + ASSUMED_QUIET_TIME;
        let observed_share = 1.0 - (-observed_time / USUAL_TRAFFIC_WINDOW).exp();
        let recent = sum.value(context.now, USUAL_TRAFFIC_WINDOW);
        recent * 1000.0 / USUAL_TRAFFIC_WINDOW / observed_share / self.running_lane_count()
    }
}
