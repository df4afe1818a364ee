//! Effects of a call's outcome on its target and lane. Each call is assessed once, regardless of
//! the number of its events.

use super::context::{jitter, Context, Draw};
use super::tuning::{
    BURST_WINDOW, CONNECTION_EVIDENCE_WINDOW, FREQUENT_CALLS_PER_SECOND, HEALTH_CHECK_INTERVAL,
    LONG_RETRY_AFTER, RECENT_CALLS_WINDOW, RESPONSE_TIME_WINDOW,
};
use crate::interface::{AttemptOutcome, AttemptReport, Ms, TargetId};
use crate::state::{Destination, Pace, TargetLane};

/// Factor of the squared rejected share in the growth of the spread after a rejection; 4, 10 and 20
/// times the share performed worse.
const REJECTED_SHARE_FACTOR: f64 = 15.0;

/// Number of consecutive rejections up to which the spread doubles with each.
const MAX_SPREAD_DOUBLINGS: i32 = 4;

/// Upper bound of the spread in calls: no spread is longer than the time in which this many calls
/// are usually sent to the lane.
const MAX_SPREAD_CALLS: f64 = 8.0;

/// A rejection takes a tenth from the recent rate: half and twice as much move the loss from
/// lateness to rejections.
const PACE_AFTER_REJECTION: f64 = 0.9;

/// Lower bound of the recent rate by which a rejection sets the pace, in calls per second.
const MIN_PACE: f64 = 0.3;

/// A response within this multiple of the usual response time raises the warm-up multiplier.
const TIMELY_RESPONSE_FACTOR: f64 = 5.0;

/// The warm-up multiplier grows by this factor with each timely response, up to a bound.
const WARM_UP_MULTIPLIER_GROWTH: f64 = 1.25;
const MAX_WARM_UP_MULTIPLIER: f64 = 4.0;

/// Values that an assessment reads before it changes the lane.
struct AssessmentInputs {
    /// Milliseconds between two calls to a lane that has to warm up after a long retry-after; else
    /// 0.
    warm_up_spacing: Ms,
    /// Milliseconds until the trial call of a lane that goes offline; 0 where health checks are
    /// allowed.
    trial_delay: Ms,
    /// A random number from 0 to 1.
    random: f64,
}

impl Destination {
    /// Applies the outcome of a call to its target and lane.
    pub(super) fn assess_call(
        &mut self,
        context: &mut Context,
        lane_index: usize,
        target: &TargetId,
        sent_at: Ms,
        report: AttemptReport,
    ) {
        let random = context.draw(Draw::CallAssessment);
        let inputs = AssessmentInputs {
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
                self.on_rejected(context, lane_index, sent_at, &report, &inputs);
            }
            AttemptOutcome::TimedOut if report.elapsed < context.min_call_timeout() => {
                // Cut short by the deadline: the target had too little time to answer, so the
                // timeout is no evidence of its health.
            }
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Reset => {
                self.on_failed(context, lane_index, target, sent_at, &report, &inputs);
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

    /// Handles an answer, either a delivery or a rejection: the lane is reachable.
    fn on_lane_answered(&mut self, context: &mut Context, lane_index: usize) {
        let now = context.now;
        let lane = &mut self.lanes[lane_index];
        // A refused connection that is soon followed by an answer indicates no outage: the targets
        // accept no more connections.
        let connect_failed_at = lane.connect_failed_at.take();
        let is_out_of_connections =
            connect_failed_at.is_some_and(|at| now - at < 3.0 * HEALTH_CHECK_INTERVAL);
        let evidence = if is_out_of_connections { 1.0 } else { 0.0 };
        let statistics = &mut context.kind_statistics[self.kind.0];
        statistics
            .connect_failed
            .add(now, CONNECTION_EVIDENCE_WINDOW, evidence);
        if !lane.is_offline || !context.config.tuning.release_on_health_check_only {
            lane.mark_online(now);
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
        // According to its response times, the lane is below its limit; `warm_up_budget` bounds the
        // sum over the fleet.
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
        inputs: &AssessmentInputs,
    ) {
        // A share outside of 0 to 1 counts as not reported.
        let limit_remaining = report
            .limit_remaining
            .filter(|share| (0.0..=1.0).contains(share));
        self.lanes[lane_index].warm_up_multiplier = 1.0;
        // Where rejected calls count against the limit, nearly all rejections report that it is
        // used up; elsewhere, 3 in 10 do.
        let is_limit_used_up = limit_remaining.is_none_or(|share| share < 0.2);
        let weight = if is_limit_used_up { 2.0 } else { 0.2 };
        let statistics = &mut context.kind_statistics[self.kind.0];
        statistics
            .rejected
            .add(context.now, CONNECTION_EVIDENCE_WINDOW, weight);
        // A call that was sent before the last rejection could not take it into account.
        if sent_at >= self.lanes[lane_index].rejected_at {
            self.throttle(context, lane_index, report.retry_after, inputs);
        }
        self.lanes[lane_index].detect_closure(context, limit_remaining);
    }

    /// Sets the pace and the backoff of a lane that rejected a call.
    fn throttle(
        &mut self,
        context: &Context,
        lane_index: usize,
        retry_after: Ms,
        inputs: &AssessmentInputs,
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
        let spread = spread.max(inputs.warm_up_spacing);
        self.lanes[lane_index].backoff_ends = now + retry_after + spread * inputs.random;
    }

    /// Returns the time over which calls after a rejection are spread, because calls that were
    /// rejected together, or received the same retry-after, must not be repeated together.
    ///
    /// The spread grows with the share of the kind's calls that are rejected, because these may
    /// count against the limit, and shrinks with the call rate.
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
        inputs: &AssessmentInputs,
    ) {
        let now = context.now;
        let is_oversubscribed = self.is_oversubscribed(context);
        let is_connect_failure = report.outcome == AttemptOutcome::ConnectFailed;
        let lane = &mut self.lanes[lane_index];
        lane.warm_up_multiplier = 1.0;
        let target = lane
            .target_mut(target)
            .expect("a target is kept while it is called");
        target.eject(now, report.outcome, jitter(inputs.random));
        lane.connect_failed_at = if is_connect_failure { Some(now) } else { None };
        // A single refused connection without earlier failures indicates too many forwarders, not a
        // fault of the destination.
        if is_connect_failure && is_oversubscribed && lane.consecutive_failures == 0 {
            let statistics = &mut context.kind_statistics[self.kind.0];
            statistics
                .connect_failed
                .add(now, CONNECTION_EVIDENCE_WINDOW, 1.0);
        }
        let is_out_of_connections =
            is_connect_failure && context.closes_idle_connections(self.kind, is_oversubscribed);
        let is_connection_at_fault =
            report.outcome == AttemptOutcome::Reset || is_out_of_connections;
        let was_delivered_lately = now - lane.delivered_at < 2.0 * HEALTH_CHECK_INTERVAL;
        if !(is_connection_at_fault && was_delivered_lately) {
            lane.consecutive_failures += 1;
        }
        // A slow lane gets a longer timeout. If other calls to the lane were answered since this
        // one was sent, its response was lost, and a longer timeout would only keep calls in
        // flight.
        if report.outcome == AttemptOutcome::TimedOut && lane.answered_at < sent_at {
            lane.response_times
                .add(now, RESPONSE_TIME_WINDOW, report.elapsed);
        }
        lane.go_offline_after_failures(now, inputs.trial_delay);
    }
}

impl TargetLane {
    /// Starts a warm-up after repeated rejections with much of the reported limit left and no
    /// delivery in between, because the destination may be closed. This guards against every fault
    /// that causes all calls to be rejected; it is harmful where a tight limit looks the same for a
    /// long time.
    fn detect_closure(&mut self, context: &Context, limit_remaining: Option<f64>) {
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

    /// Returns the recent rate of calls to the lane, in calls per second. A burst is rejected
    /// within a shorter time than the window, so the rate within the burst counts if it is high.
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
