//! How many calls a second this forwarder allows itself to a lane, and what usually goes there.
//!
//! Two things speak for a limit: recent rejections, and a destination that is warming up
//! (`warm_up`).

use super::context::Context;
use super::tuning::{FREQUENT_CALLS_PER_SECOND, USUAL_TRAFFIC_WINDOW};
use crate::interface::Ms;
use crate::state::{DecayingSum, Destination, Pace};

/// A rejection limits the rate for so long.
const PACE_TTL: Ms = 20_000.0;

/// The growth of a pace in a second.
const PACE_RECOVERY_PER_SECOND: f64 = 0.08;

/// A destination's advertised rate is believed up to so many times the rate that was counted. Where
/// one event comes in a minute its count is off by some times; a rate advertised a hundredfold is
/// wrong.
const MAX_ADVERTISED_TO_COUNTED: f64 = 4.0;

/// Quiet time that is assumed before the start, or a single burst after it would pass for usual
/// traffic.
const ASSUMED_QUIET_TIME: Ms = 2_000.0;

impl Destination {
    /// The calls a second that this forwarder allows itself to a lane; none where nothing speaks
    /// for a limit.
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

    /// The pace that a rejection set, grown with the time since: by a share of itself, and where
    /// calls are frequent by a share of the usual rate as well.
    fn paced_rate(&self, context: &Context, pace: Pace) -> f64 {
        let accepted_per_second = self.usual_per_lane_and_second(context, &self.accepted_events);
        let goal = pace.calls_per_second.max(accepted_per_second);
        let seconds = (context.now - pace.set_at) / 1000.0;
        let frequency = (goal / FREQUENT_CALLS_PER_SECOND - 1.0).max(0.0);
        let grown = pace.calls_per_second * (PACE_RECOVERY_PER_SECOND * seconds).exp()
            + PACE_RECOVERY_PER_SECOND * goal * frequency * seconds;
        // The advertised rate is open to all forwarders alike: an even part of it is nobody's loss.
        grown.max(self.advertised_rate / context.config.forwarder_count / self.running_lane_count())
    }

    /// What usually goes to each lane in a second, now or before it had to warm up, also in an
    /// earlier process.
    ///
    /// Events accepted are counted, or calls if they are far fewer, as one may carry several events
    /// (half more, as calls are few). What comes again in an outage is not usual. An even part of
    /// the advertised rate is, up to some times the rate that was counted.
    pub(super) fn usual_rate(&self, context: &Context) -> f64 {
        let accepted = self.usual_per_lane_and_second(context, &self.accepted_events);
        let called = self.usual_per_lane_and_second(context, &self.sent_calls);
        let counted = accepted.min(1.5 * called);
        let even_part =
            self.advertised_rate / context.config.forwarder_count / self.running_lane_count();
        let advertised = even_part.min(MAX_ADVERTISED_TO_COUNTED * counted);
        let recorded = &self.usual_before_warm_up;
        let age = context.now - recorded.recorded_at;
        let before_warm_up = recorded.calls_per_second * (-age / USUAL_TRAFFIC_WINDOW).exp();
        counted.max(before_warm_up).max(advertised)
    }

    fn usual_per_lane_and_second(&self, context: &Context, sum: &DecayingSum) -> f64 {
        let observed_time = context.now - context.started_at + ASSUMED_QUIET_TIME;
        let observed_share = 1.0 - (-observed_time / USUAL_TRAFFIC_WINDOW).exp();
        let recent = sum.value(context.now, USUAL_TRAFFIC_WINDOW);
        recent * 1000.0 / USUAL_TRAFFIC_WINDOW / observed_share / self.running_lane_count()
    }
}
