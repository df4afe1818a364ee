//! The health of targets and lanes: ejection of one target, and lanes that go offline and come
//! back.
//!
//! A target that failed is ejected for a while: the others of its lane are preferred. A lane that
//! failed twice in a row goes offline: its queue is parked until a health check, or a trial call
//! where health checks are not allowed, is answered.

use super::context::Context;
use super::tuning::{IDLE_CONNECTION_GRACE, RESPONSE_TIME_WINDOW};
use crate::interface::{AttemptOutcome, Effects, Ms, TargetId};
use crate::state::{Destination, RecordedRate, Target, TargetLane};

/// So many failures in a row take a lane offline.
const OFFLINE_AFTER_FAILURES: i32 = 2;

/// The ejection of a target after its first failure. It doubles with each further one, up to a
/// bound.
const EJECTION_AFTER_FAILURE: Ms = 500.0;

/// The ejection after a refused connection. Refusals last: past the backoff of an event that met
/// one; half a second did not do.
const EJECTION_AFTER_CONNECT_FAILURE: Ms = 2000.0;

/// Failures in a row that still lengthen an ejection.
const MAX_EJECTION_FAILURES: i32 = 5;

impl Destination {
    /// What is due at the lanes: warm-ups to record, idle connections to close, unsent calls to
    /// cancel, health checks to send.
    pub(super) fn review_lanes(&mut self, context: &mut Context, effects: &mut impl Effects) {
        let now = context.now;
        let closes_idle = context.closes_idle_connections(self.kind, self.is_crowded(context));
        let has_queued_events = self.queued_event_count() > 0;
        let usual_rate = self.usual_rate(context);
        let lapsed_targets = self.targets_of_lapsed_attempts(context);
        for lane in &mut self.lanes {
            let last_recorded = lane.recorded_warm_up;
            let unrecorded = lane.take_unrecorded_warm_up();
            if let Some(since) = unrecorded {
                // What went there before the outage is what the lane can take: in an outage little
                // goes, and much comes again.
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
                // A call that waits for its connection could be written after the target's grace
                // period, after the deduplication window or inside a retry-after.
                let is_too_late = !target.is_running()
                    || lane.retry_after_ends > now
                    || lapsed_targets.contains(&target.id);
                if is_too_late && (target.calls_in_flight > 0 || lane.health_check_in_flight) {
                    effects.cancel_unsent(&target.id);
                }
            }
            if lane.health_check_due_at(context, has_queued_events) <= now {
                lane.send_health_check(context, effects);
            }
        }
    }

    /// The targets of calls with an event whose deduplication window has ended.
    fn targets_of_lapsed_attempts(&self, context: &Context) -> Vec<TargetId> {
        let lapsed = self
            .events
            .values()
            .filter(|event| context.deduplication_ends(event) <= context.now);
        let calls = lapsed.filter_map(|event| event.call);
        calls.map(|call| self.calls[&call].target.clone()).collect()
    }
}

impl TargetLane {
    /// The time that a response of the lane usually takes. Its own responses outweigh those of the
    /// other lanes after two.
    pub(super) fn usual_response_time(&self, context: &Context) -> Ms {
        let own_total_time = self
            .response_times
            .total_time(context.now, RESPONSE_TIME_WINDOW);
        let own_count = self.response_times.count(context.now, RESPONSE_TIME_WINDOW);
        (own_total_time + 2.0 * context.common_response_time()) / (own_count + 2.0)
    }

    /// The lane failed last, or responds three times as slowly as is common.
    pub(super) fn is_in_doubt(&self, context: &Context) -> bool {
        let is_slow = self.usual_response_time(context) > 3.0 * context.common_response_time();
        self.consecutive_failures > 0 || is_slow
    }

    /// Takes the lane offline if it has failed often enough: a health check goes at once, or a
    /// trial call after `trial_delay`. Whatever was offline warms up when it returns.
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

    /// The lane answered: it is online and healthy.
    pub(super) fn release(&mut self, now: Ms) {
        if self.is_offline {
            // The lane returned somewhere between the last bad sign and this answer.
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
    /// Ejects the target after a failure, for a time that doubles with its failures in a row.
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

    /// One call to the target has ended with all its events.
    pub(super) fn on_call_ended(&mut self, now: Ms) {
        self.calls_in_flight -= 1;
        self.idle_since = if self.calls_in_flight == 0 {
            Some(now)
        } else {
            None
        };
    }
}
