//! Health of targets and lanes: ejection of single targets, and lanes that go offline and come back
//! online.
//!
//! A target that failed is ejected for some time, in which the other targets of its lane are
//! preferred. A lane that failed twice in a row goes offline: its events stay queued until a health
//! check is answered, or a trial call where health checks are not allowed.

use super::context::Context;
use super::tuning::{IDLE_CONNECTION_GRACE, RESPONSE_TIME_WINDOW};
use crate::interface::{AttemptOutcome, Effects, Ms, TargetId};
use crate::state::{Destination, RecordedRate, Target, TargetLane};

/// Number of consecutive failures that take a lane offline.
const OFFLINE_AFTER_FAILURES: i32 = 2;

/// Duration of a target's ejection after its first failure. It doubles with each further
/// consecutive failure, up to a bound.
const EJECTION_AFTER_FAILURE: Ms = 500.0;

/// Duration of the first ejection after a refused connection. Refusals usually persist, so the
/// ejection is longer than the backoff of an event that met one; half a second was too short.
const EJECTION_AFTER_CONNECT_FAILURE: Ms = 2000.0;

/// Number of consecutive failures up to which the ejection is lengthened.
const MAX_EJECTION_FAILURES: i32 = 5;

impl Destination {
    /// Carries out the due actions of the lanes: records warm-ups, closes idle connections, cancels
    /// unsent calls and sends health checks.
    pub(super) fn review_lanes(&mut self, context: &mut Context, effects: &mut impl Effects) {
        let now = context.now;
        let closes_idle =
            context.closes_idle_connections(self.kind, self.is_oversubscribed(context));
        let has_queued_events = self.queued_event_count() > 0;
        let usual_rate = self.usual_rate(context);
        let expired_targets = self.targets_past_deduplication_window(context);
        for lane in &mut self.lanes {
            let last_recorded = lane.recorded_warm_up;
            let unrecorded = lane.take_unrecorded_warm_up();
            if let Some(since) = unrecorded {
                // The traffic before the outage shows the lane's capacity: during an outage few
                // calls are sent, and many events are submitted again.
                let is_new_outage =
                    last_recorded == 0.0 || since - last_recorded > context.config.warm_up_duration;
                if is_new_outage {
                    let recorded = RecordedRate {
                        calls_per_second: usual_rate,
                        recorded_at: now,
                    };
                    self.usual_before_warm_up = recorded;
                }
            }
            for target in &mut lane.targets {
                if let Some(since) = unrecorded {
                    effects.record_warm_up(&target.id, since, usual_rate);
                }
                if closes_idle
                    && target
                        .idle_since
                        .is_some_and(|since| since + IDLE_CONNECTION_GRACE <= now)
                {
                    target.idle_since = None;
                    effects.close_idle_connections(&target.id);
                }
                // Otherwise, a call that waits for its connection could be written after the
                // target's grace period, after the deduplication window or during a retry-after.
                let is_too_late = !target.is_running()
                    || lane.retry_after_ends > now
                    || expired_targets.contains(&target.id);
                if is_too_late && (target.calls_in_flight > 0 || lane.health_check_in_flight) {
                    effects.cancel_unsent(&target.id);
                }
            }
            if lane.health_check_due_at(context, has_queued_events) <= now {
                lane.send_health_check(context, effects);
            }
        }
    }

    /// Returns the targets of calls in flight that carry an event whose deduplication window has
    /// ended.
    fn targets_past_deduplication_window(&self, context: &Context) -> Vec<TargetId> {
        let expired = self
            .events
            .values()
            .filter(|event| context.deduplication_ends(event) <= context.now);
        let calls = expired.filter_map(|event| event.call);
        calls.map(|call| self.calls[&call].target.clone()).collect()
    }
}

impl TargetLane {
    /// Returns the lane's usual response time. With more than two responses, the lane's own
    /// response times outweigh the mean of all destinations.
    pub(super) fn usual_response_time(&self, context: &Context) -> Ms {
        let own_total_time = self
            .response_times
            .total_time(context.now, RESPONSE_TIME_WINDOW);
        let own_count = self.response_times.count(context.now, RESPONSE_TIME_WINDOW);
        (own_total_time + 2.0 * context.mean_response_time()) / (own_count + 2.0)
    }

    /// Returns whether the lane has failed since its last answer, or its usual response time is
    /// more than three times the mean of all destinations.
    pub(super) fn is_in_doubt(&self, context: &Context) -> bool {
        let is_slow = self.usual_response_time(context) > 3.0 * context.mean_response_time();
        self.consecutive_failures > 0 || is_slow
    }

    /// Takes the lane offline if it has enough consecutive failures: a health check is due at once,
    /// or a trial call after `trial_delay`. A lane that was offline warms up when it comes back.
    pub(super) fn go_offline_after_failures(&mut self, now: Ms, trial_delay: Ms) {
        if self.consecutive_failures < OFFLINE_AFTER_FAILURES {
            return;
        }
        let keeps_health_check = self.is_offline && trial_delay == 0.0;
        if !keeps_health_check {
            self.health_check_at = now + trial_delay;
        }
        self.is_offline = true;
        self.begin_warm_up(now);
    }

    /// Marks the lane as online and healthy after an answer.
    pub(super) fn mark_online(&mut self, now: Ms) {
        if self.is_offline {
            // The lane came back at some time between its last failure and this answer; the middle
            // is assumed.
            if let Some(since) = self.warming_up_since {
                self.warming_up_since = Some(since.max(0.5 * (since + now)));
            }
        }
        self.answered_at = now;
        self.is_offline = false;
        self.consecutive_failures = 0;
    }
}

impl Target {
    /// Ejects the target after a failure, for a time that doubles with each consecutive failure.
    pub(super) fn eject(&mut self, now: Ms, outcome: AttemptOutcome, jitter: f64) {
        self.consecutive_failures += 1;
        let is_connect_failure = outcome == AttemptOutcome::ConnectFailed;
        let initial = if is_connect_failure {
            EJECTION_AFTER_CONNECT_FAILURE
        } else {
            EJECTION_AFTER_FAILURE
        };
        let doublings = self.consecutive_failures.min(MAX_EJECTION_FAILURES) - 1;
        self.ejected_until = now + jitter * initial * f64::powi(2.0, doublings);
    }

    /// Updates the target after a call to it has ended for all events of the call.
    pub(super) fn on_call_ended(&mut self, now: Ms) {
        self.calls_in_flight -= 1;
        self.idle_since = if self.calls_in_flight == 0 {
            Some(now)
        } else {
            None
        };
    }
}
