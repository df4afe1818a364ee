//! Effects of an attempt's outcome on its event.

use super::context::{jitter, Context, Draw};
use super::tuning::LONG_RETRY_AFTER;
use super::Scheduler;
use crate::interface::{
    AttemptOutcome, AttemptReport, DestinationId, EventId, InputResult, Ms, TargetId, UnknownId,
    ZoneId,
};
use crate::state::{
    CallNumber, Destination, EventLocation, EventNumber, PendingEvent, PossibleExecution,
};

/// Number of attempts up to which the backoff doubles with each.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// An attempt that has just ended, and the call that it was a part of.
struct EndedAttempt {
    destination: DestinationId,
    event: EventNumber,
    call: CallNumber,
    target: TargetId,
    /// The position of the target's lane in its destination.
    lane: usize,
    zone: ZoneId,
    sent_at: Ms,
    reuses_idle_connection: bool,
    /// No other event of the call has been reported.
    is_first_report: bool,
    /// Every other event of the call has been reported.
    is_last_report: bool,
}

impl Scheduler {
    /// Handles the end of an attempt of the event. If a call carries several events, each has its
    /// own report.
    ///
    /// # Errors
    ///
    /// [`UnknownId`] if the event was never accepted, is no longer pending, or has no attempt in
    /// flight.
    pub fn on_attempt_ended(&mut self, id: &EventId, report: AttemptReport) -> InputResult {
        let attempt = self.take_attempt(id)?;
        self.assess_attempt(&attempt, report);
        self.apply_outcome(&attempt, report);
        self.changed.insert(attempt.destination);
        self.remove_if_finished(attempt.destination, attempt.event);
        Ok(())
    }

    /// Removes the event from its call and returns the attempt.
    fn take_attempt(&mut self, id: &EventId) -> Result<EndedAttempt, UnknownId> {
        let location = self.event_locations.get(id).ok_or(UnknownId("the event"))?;
        let &EventLocation {
            destination: destination_id,
            number,
        } = location;
        let destination = self.destinations.get_mut(&destination_id);
        let destination = destination.expect("an event has a destination");
        let event = destination.events.get_mut(&number);
        let call_number = event
            .and_then(|event| event.call.take())
            .ok_or(UnknownId("the attempt"))?;
        let call = destination.calls.get_mut(&call_number);
        let call = call.expect("a call is kept until every event of it is reported");
        call.unreported_events -= 1;
        let is_first_report = !std::mem::replace(&mut call.is_assessed, true);
        let is_last_report = call.unreported_events == 0;
        let sent_at = call.sent_at;
        let reuses_idle_connection = call.reuses_idle_connection;
        let target = call.target.clone();
        let lane = destination
            .lane_of(&target)
            .expect("a target is kept while it is called");
        let zone = destination.lanes[lane]
            .target(&target)
            .expect("the lane has the target")
            .zone;
        Ok(EndedAttempt {
            destination: destination_id,
            event: number,
            call: call_number,
            target,
            lane,
            zone,
            sent_at,
            reuses_idle_connection,
            is_first_report,
            is_last_report,
        })
    }

    /// Applies the report to the target and its lane. The first report of a call counts for the
    /// entire call.
    fn assess_attempt(&mut self, attempt: &EndedAttempt, report: AttemptReport) {
        let destination = self.destinations.get_mut(&attempt.destination);
        let destination = destination.expect("an event has a destination");
        let context = &mut self.context;
        destination.apply_retry_after(context, attempt.lane, report.retry_after);
        if attempt.is_first_report {
            context.assess_connection_reuse(attempt.reuses_idle_connection, report.outcome);
            let sent_at = attempt.sent_at;
            destination.assess_call(context, attempt.lane, &attempt.target, sent_at, report);
        }
        if attempt.is_last_report {
            let call = destination
                .calls
                .remove(&attempt.call)
                .expect("the call has this event");
            self.doubtful_calls_in_flight -= usize::from(call.lane_in_doubt);
            self.calls_in_flight -= 1;
            let target = destination.lanes[attempt.lane].target_mut(&attempt.target);
            target
                .expect("the lane has the target")
                .on_call_ended(context.now);
        }
    }

    /// Applies the report to the event, which is either complete or may be retried after a backoff.
    fn apply_outcome(&mut self, attempt: &EndedAttempt, report: AttemptReport) {
        let destination = self.destinations.get_mut(&attempt.destination);
        let event = destination.and_then(|destination| destination.events.get_mut(&attempt.event));
        let event = event.expect("an event is kept while it is in flight");
        event.is_complete |= report.event_complete || report.outcome == AttemptOutcome::Delivered;
        self.context.back_off(attempt.event, event, report.outcome);
        if report.outcome.may_have_run() && event.may_have_run.is_none() {
            let execution = PossibleExecution {
                sent_at: attempt.sent_at,
                zone: attempt.zone,
            };
            event.may_have_run = Some(execution);
        }
        if let Some(order_key) = event.order_key {
            if may_still_be_executing(report.outcome) {
                self.cool_down_key(order_key);
            }
        }
    }
}

impl Destination {
    /// Blocks calls to the lane until the end of the retry-after. Each event of a call may have its
    /// own retry-after.
    fn apply_retry_after(&mut self, context: &Context, lane_index: usize, retry_after: Ms) {
        let lane = &mut self.lanes[lane_index];
        lane.retry_after_ends = lane.retry_after_ends.max(context.now + retry_after);
        if retry_after > LONG_RETRY_AFTER {
            lane.begin_warm_up(context.now);
        }
    }
}

impl Context {
    /// Sets the end of the backoff before the event's retry. The backoff doubles with each attempt
    /// and is jittered.
    fn back_off(&mut self, number: EventNumber, event: &mut PendingEvent, outcome: AttemptOutcome) {
        let initial = self.config.tuning.retry_backoff.initial(outcome);
        let doublings = event.attempts.min(MAX_BACKOFF_DOUBLINGS) as i32 - 1;
        let backoff = initial * f64::powi(2.0, doublings);
        event.not_before = self.now + backoff * jitter(self.draw(Draw::RetryBackoff(number)));
    }
}

/// Returns whether an attempt with this outcome was cut short and may still be executing at the
/// target.
fn may_still_be_executing(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled => true,
        AttemptOutcome::Delivered
        | AttemptOutcome::Error
        | AttemptOutcome::Rejected
        | AttemptOutcome::ConnectFailed
        | AttemptOutcome::NotSent => false,
    }
}
