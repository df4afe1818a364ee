//! The end of a call, and what it means for its target and its lane: once for a call, however many
//! events it carried.

use super::context::{jitter, Context, Draw};
use super::tuning::{
    BURST_WINDOW, CONNECTION_EVIDENCE_WINDOW, FREQUENT_CALLS_PER_SECOND, HEALTH_CHECK_INTERVAL,
    LONG_RETRY_AFTER, RECENT_CALLS_WINDOW, RESPONSE_TIME_WINDOW,
};
use crate::interface::{AttemptOutcome, AttemptReport, Ms, TargetId};
use crate::state::{Destination, Pace, TargetLane};

/// How strongly the spread after a rejection grows with the square of the rejected share; 4, 10 and
/// 20 times the share served worse.
const REJECTED_SHARE_FACTOR: f64 = 15.0;

/// The spread doubles with each of so many rejections in a row.
const MAX_SPREAD_DOUBLINGS: i32 = 4;

/// No spread is longer than the time in which so many calls usually go to the lane.
const MAX_SPREAD_CALLS: f64 = 8.0;

/// A rejection takes a tenth from the recent rate: half and twice as much move the loss from
/// lateness to rejections.
const PACE_AFTER_REJECTION: f64 = 0.9;

/// A rejection sets no pace below this, in calls a second.
const MIN_PACE: f64 = 0.3;

/// A response within so many times the usual time raises the warm-up multiplier.
const TIMELY_RESPONSE_FACTOR: f64 = 5.0;

/// The warm-up multiplier grows by this factor with each timely response, up to a bound.
const WARM_UP_MULTIPLIER_GROWTH: f64 = 1.25;
const MAX_WARM_UP_MULTIPLIER: f64 = 4.0;

/// What an assessment reads before it changes the lane.
struct LaneBeforeCall {
    /// Milliseconds between two calls to a lane that has to warm up after a long retry-after; else
    /// 0.
    warm_up_spacing: Ms,
    /// Until the trial call of a lane that goes offline; 0 where health checks are allowed.
    trial_delay: Ms,
    /// A random number from 0 to 1.
    random: f64,
}

impl Destination {
    /// Counts the outcome of a call to a target.
    pub(super) fn assess_call(
        &mut self,
        context: &mut Context,
        lane_index: usize,
        target: &TargetId,
        sent_at: Ms,
        report: AttemptReport,
    ) {
        let random = context.draw(Draw::CallAssessment);
        let before = LaneBeforeCall {
            warm_up_spacing: self.warm_up_spacing(context, lane_index, &report),
            trial_delay: self.trial_delay(context, lane_index),
            random,
        };
        match report.outcome {
            AttemptOutcome::Delivered => {
                self.on_lane_answered(context, lane_index);
                self.on_delivered(context, lane_index, target, report.elapsed);
            }
            AttemptOutcome::Rejected => {
                self.on_lane_answered(context, lane_index);
                self.on_rejected(context, lane_index, sent_at, &report, &before);
            }
            AttemptOutcome::TimedOut if report.elapsed < context.min_call_timeout() => {
                // Cut short by the deadline: the target had no time to answer, which says nothing
                // of its health.
            }
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Reset => {
                self.on_failed(context, lane_index, target, sent_at, &report, &before);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    fn warm_up_spacing(&self, context: &Context, lane_index: usize, report: &AttemptReport) -> Ms {
        if report.retry_after > LONG_RETRY_AFTER {
            self.call_spacing(context, lane_index)
        } else {
            0.0
        }
    }

    fn trial_delay(&self, context: &mut Context, lane_index: usize) -> Ms {
        if context.config.health_checks_allowed {
            0.0
        } else {
            self.health_check_interval(context, lane_index)
        }
    }

    /// A delivery or a rejection: the lane is there.
    fn on_lane_answered(&mut self, context: &mut Context, lane_index: usize) {
        let now = context.now;
        let lane = &mut self.lanes[lane_index];
        // A connection refused, and an answer soon after: no outage, the targets take no more
        // connections.
        let connect_failed_at = lane.connect_failed_at.take();
        let is_out_of_connections =
            connect_failed_at.is_some_and(|at| now - at < 3.0 * HEALTH_CHECK_INTERVAL);
        let evidence = if is_out_of_connections { 1.0 } else { 0.0 };
        let statistics = &mut context.kind_statistics[self.kind.0];
        statistics
            .connect_failed
            .add(now, CONNECTION_EVIDENCE_WINDOW, evidence);
        if !lane.is_offline || !context.config.tuning.release_on_health_check_only {
            lane.release(now);
        }
    }

    fn on_delivered(
        &mut self,
        context: &mut Context,
        lane_index: usize,
        target: &TargetId,
        elapsed: Ms,
    ) {
        let now = context.now;
        let lane = &mut self.lanes[lane_index];
        lane.target_mut(target)
            .expect("a target is kept while it is called")
            .consecutive_failures = 0;
        lane.consecutive_rejections = 0;
        lane.unexplained_rejections = 0;
        lane.delivered_at = now;
        let statistics = &mut context.kind_statistics[self.kind.0];
        statistics
            .delivered
            .add(now, CONNECTION_EVIDENCE_WINDOW, 1.0);
        // The lane is under its limit, as far as responses tell; `warm_up_budget` bounds the sum
        // over the fleet.
        lane.warm_up_multiplier =
            if elapsed < TIMELY_RESPONSE_FACTOR * lane.usual_response_time(context) {
                (lane.warm_up_multiplier.max(1.0) * WARM_UP_MULTIPLIER_GROWTH)
                    .min(MAX_WARM_UP_MULTIPLIER)
            } else {
                1.0
            };
        lane.response_times.add(now, RESPONSE_TIME_WINDOW, elapsed);
        context
            .response_times
            .add(now, RESPONSE_TIME_WINDOW, elapsed);
    }

    fn on_rejected(
        &mut self,
        context: &mut Context,
        lane_index: usize,
        sent_at: Ms,
        report: &AttemptReport,
        before: &LaneBeforeCall,
    ) {
        // A share outside of 0 to 1 reports nothing.
        let limit_remaining = report
            .limit_remaining
            .filter(|share| (0.0..=1.0).contains(share));
        self.lanes[lane_index].warm_up_multiplier = 1.0;
        // Where rejected calls use up the limit, nearly all report it used up; 3 in 10 do
        // elsewhere.
        let is_limit_used_up = limit_remaining.is_none_or(|share| share < 0.2);
        let weight = if is_limit_used_up { 2.0 } else { 0.2 };
        let statistics = &mut context.kind_statistics[self.kind.0];
        statistics
            .rejected
            .add(context.now, CONNECTION_EVIDENCE_WINDOW, weight);
        // A call that was sent before the last rejection could not heed it.
        if sent_at >= self.lanes[lane_index].rejected_at {
            self.slow_down(context, lane_index, report.retry_after, before);
        }
        self.lanes[lane_index].suspect_closure(context, limit_remaining);
    }

    /// Sets the pace of a lane that rejected a call, and its backoff.
    fn slow_down(
        &mut self,
        context: &Context,
        lane_index: usize,
        retry_after: Ms,
        before: &LaneBeforeCall,
    ) {
        let now = context.now;
        let lane = &mut self.lanes[lane_index];
        lane.consecutive_rejections += 1;
        lane.rejected_at = now;
        let recent_rate = lane.recent_rate(now);
        lane.pace = Some(Pace {
            calls_per_second: recent_rate * PACE_AFTER_REJECTION,
            set_at: now,
        });
        let spread = self.rejection_spread(context, lane_index, recent_rate);
        let spread = spread.max(before.warm_up_spacing);
        self.lanes[lane_index].backoff_ends = now + retry_after + spread * before.random;
    }

    /// The time over which calls that were rejected are spread, as all that were rejected together,
    /// or were given the same retry-after, must not come back together.
    ///
    /// The spread grows with the share of the kind's calls that are rejected, as these may use up
    /// the limit, and shrinks with the rate.
    fn rejection_spread(&self, context: &Context, lane_index: usize, recent_rate: f64) -> Ms {
        let now = context.now;
        let statistics = &context.kind_statistics[self.kind.0];
        let rejected = statistics.rejected.value(now, CONNECTION_EVIDENCE_WINDOW);
        let delivered = statistics.delivered.value(now, CONNECTION_EVIDENCE_WINDOW);
        let rejected_share = rejected / (delivered + 8.0);
        let doublings = self.lanes[lane_index]
            .consecutive_rejections
            .min(MAX_SPREAD_DOUBLINGS);
        let growth = (1.0 + REJECTED_SHARE_FACTOR * rejected_share * rejected_share)
            * f64::powi(2.0, doublings);
        let initial = 250.0 * context.config.forwarder_count.sqrt();
        let initial = initial.min(context.config.tuning.max_initial_spread());
        let max_spread = 1000.0 * MAX_SPREAD_CALLS / self.usual_rate(context).max(1e-9);
        (initial * growth / (recent_rate / FREQUENT_CALLS_PER_SECOND).max(1.0)).min(max_spread)
    }

    fn on_failed(
        &mut self,
        context: &mut Context,
        lane_index: usize,
        target: &TargetId,
        sent_at: Ms,
        report: &AttemptReport,
        before: &LaneBeforeCall,
    ) {
        let now = context.now;
        let is_crowded = self.is_crowded(context);
        let is_connect_failure = report.outcome == AttemptOutcome::ConnectFailed;
        let lane = &mut self.lanes[lane_index];
        lane.warm_up_multiplier = 1.0;
        let target = lane
            .target_mut(target)
            .expect("a target is kept while it is called");
        target.eject(now, report.outcome, jitter(before.random));
        lane.connect_failed_at = if is_connect_failure { Some(now) } else { None };
        // One connection refused where nothing had failed is a sign of the crowd, not of the
        // destination.
        if is_connect_failure && is_crowded && lane.consecutive_failures == 0 {
            let statistics = &mut context.kind_statistics[self.kind.0];
            statistics
                .connect_failed
                .add(now, CONNECTION_EVIDENCE_WINDOW, 1.0);
        }
        let is_out_of_connections =
            is_connect_failure && context.closes_idle_connections(self.kind, is_crowded);
        let is_connection_at_fault =
            report.outcome == AttemptOutcome::Reset || is_out_of_connections;
        let was_delivered_lately = now - lane.delivered_at < 2.0 * HEALTH_CHECK_INTERVAL;
        if !(is_connection_at_fault && was_delivered_lately) {
            lane.consecutive_failures += 1;
        }
        // A slow lane gets more time. Where others were answered since, the response was lost: more
        // time for that would only pin calls in flight.
        if report.outcome == AttemptOutcome::TimedOut && lane.answered_at < sent_at {
            lane.response_times
                .add(now, RESPONSE_TIME_WINDOW, report.elapsed);
        }
        lane.go_offline_after_failures(now, before.trial_delay);
    }
}

impl TargetLane {
    /// Rejected again with much of the reported limit left, and nothing delivered in between: the
    /// destination may be closed, and has to warm up then. That guards against whatever rejects
    /// all; it does harm where a tight limit looks the same for long.
    fn suspect_closure(&mut self, context: &Context, limit_remaining: Option<f64>) {
        let is_much_left = limit_remaining.is_none_or(|share| share >= 0.5);
        self.unexplained_rejections = if is_much_left {
            self.unexplained_rejections + 1
        } else {
            0
        };
        let since_delivery = context.now - self.delivered_at;
        let is_closed =
            self.unexplained_rejections >= 2 && since_delivery > 1.5 * HEALTH_CHECK_INTERVAL;
        let is_still_closed = self.is_warming_up(context) && self.unexplained_rejections > 0;
        if is_closed || is_still_closed {
            self.begin_warm_up(context.now);
        }
    }

    /// The calls a second that went to the lane in the last moments. A burst is rejected within
    /// less, so that what left at once tells more, if it is much.
    fn recent_rate(&self, now: Ms) -> f64 {
        let recent =
            self.recent_calls.value(now, RECENT_CALLS_WINDOW) * 1000.0 / RECENT_CALLS_WINDOW;
        let burst = self.burst_calls.value(now, BURST_WINDOW) * 1000.0 / BURST_WINDOW;
        if burst >= 2.0 * FREQUENT_CALLS_PER_SECOND {
            recent.max(burst)
        } else {
            recent.max(MIN_PACE)
        }
    }
}
