//! Dispatch of one call: its events, its timeout, and the records kept of it.

use super::context::Context;
use super::fair_queueing::SendOptions;
use super::tuning::{
    BURST_WINDOW, IDLE_CONNECTION_GRACE, MAX_MIN_CALL_TIMEOUT, RECENT_CALLS_WINDOW,
    USUAL_TRAFFIC_WINDOW,
};
use super::Scheduler;
use crate::interface::{DestinationId, Effects, Idempotency, Ms};
use crate::state::{
    CallNumber, Destination, EventNumber, InFlightCall, LaneTarget, OrderedFloat, TargetLane,
};

/// Weight of each further event of a call, relative to the call's first event. The protocol only
/// specifies that it is small.
const EXTRA_EVENT_WEIGHT: f64 = 0.25;

/// Call timeout as a multiple of the usual response time: few responses take longer.
const CALL_TIMEOUT_FACTOR: f64 = 6.0;

/// Upper bound of the call timeout, which is doubled for a non-idempotent event.
const MAX_CALL_TIMEOUT: Ms = 8000.0;

impl Scheduler {
    /// Prepares for the end of the process at the time `ends`. A call that is in flight at that
    /// time may have run, so no call is sent shortly before it.
    pub fn begin_shutdown(&mut self, ends: Ms) {
        self.last_send_at = OrderedFloat(ends - MAX_MIN_CALL_TIMEOUT);
    }

    /// Sends one call to the destination that has the turn, with as many of its events as a call
    /// can carry.
    pub(super) fn send_next_call(&mut self, id: DestinationId, effects: &mut impl Effects) {
        let destination = self
            .destinations
            .get_mut(&id)
            .expect("a ready destination exists");
        let context = &mut self.context;
        let options = destination.send_options(context, &self.key_queues);
        let Some(&first_event) = options.events.first() else {
            return;
        };
        let chosen = destination.select_target(context, first_event, &options.targets, effects);
        let events = destination.events_for_call(context, &options, chosen);
        self.calls_sent += 1;
        destination.last_call = self.calls_sent;
        destination.send_attempts(context, &events, self.calls_sent, chosen, effects);
        let call = destination.record_call(context, &events, chosen);
        self.calls_in_flight += 1;
        self.doubtful_calls_in_flight += usize::from(call.lane_in_doubt);
        destination.calls.insert(self.calls_sent, call);
    }
}

impl Destination {
    /// Returns the events that share a call to the target, in the order of acceptance.
    fn events_for_call(
        &self,
        context: &Context,
        options: &SendOptions,
        chosen: LaneTarget,
    ) -> Vec<EventNumber> {
        let mut max_events = context.config.destination_kinds[self.kind.0]
            .max_events_per_call
            .max(1);
        if self.lanes[chosen.lane].is_warming_up(context) {
            // Limits the call to twice the weight of a call with one event.
            max_events = max_events.min(1 + (1.0 / EXTRA_EVENT_WEIGHT) as usize);
        }
        let target = self.target_at(chosen);
        let fitting = options
            .events
            .iter()
            .filter(|number| context.may_attempt(&self.events[number], target));
        fitting.copied().take(max_events).collect()
    }

    fn send_attempts(
        &mut self,
        context: &Context,
        events: &[EventNumber],
        call: CallNumber,
        chosen: LaneTarget,
        effects: &mut impl Effects,
    ) {
        let lane = &self.lanes[chosen.lane];
        let target = &lane.targets[chosen.target];
        let call_timeout = lane.call_timeout(context);
        for number in events {
            let event = self
                .events
                .get_mut(number)
                .expect("an event that can go is in its destination");
            event.call = Some(call);
            event.attempts += 1;
            event.restored_unattempted = false;
            // A non-idempotent event cannot be retried, so its timeout is doubled.
            let is_non_idempotent = context.idempotency(event) == Idempotency::NonIdempotent;
            let factor = if is_non_idempotent { 2.0 } else { 1.0 };
            let timeout = (factor * call_timeout).min(event.deadline - context.now);
            effects.send_attempt(
                &event.id,
                &target.id,
                timeout,
                context.deduplication_ends(event),
            );
        }
    }

    /// Records a call that was just sent in the statistics of its target, lane and destination.
    fn record_call(
        &mut self,
        context: &Context,
        events: &[EventNumber],
        chosen: LaneTarget,
    ) -> InFlightCall {
        let now = context.now;
        let rate_limit = self.rate_limit(context, chosen.lane);
        let lane = &mut self.lanes[chosen.lane];
        if let Some(calls_per_second) = rate_limit {
            let weight = 1.0 + EXTRA_EVENT_WEIGHT * (events.len() - 1) as f64;
            lane.next_call_at = lane.next_call_at.max(now) + weight * 1000.0 / calls_per_second;
        }
        lane.recent_calls.add(now, RECENT_CALLS_WINDOW, 1.0);
        lane.burst_calls.add(now, BURST_WINDOW, 1.0);
        self.sent_calls.add(now, USUAL_TRAFFIC_WINDOW, 1.0);
        let target = &mut lane.targets[chosen.target];
        let idle_since = target.idle_since.take();
        target.calls_in_flight += 1;
        InFlightCall {
            target: target.id.clone(),
            sent_at: now,
            unreported_events: events.len(),
            is_assessed: false,
            reuses_idle_connection: idle_since
                .is_some_and(|since| since + IDLE_CONNECTION_GRACE < now),
            lane_in_doubt: lane.is_in_doubt(context),
        }
    }
}

impl TargetLane {
    fn call_timeout(&self, context: &Context) -> Ms {
        let timeout = CALL_TIMEOUT_FACTOR * self.usual_response_time(context);
        timeout.clamp(context.min_call_timeout(), MAX_CALL_TIMEOUT)
    }
}

impl Context {
    /// Returns the minimum call timeout. Where calls end within 20 ms, a call without a response
    /// must not stay in flight for seconds. Of the responses that arrived, one in three hundred
    /// took more than eight times the mean; with a factor of 15, peers that did not respond to
    /// every thirtieth call occupied half of the calls in flight.
    pub(super) fn min_call_timeout(&self) -> Ms {
        (8.0 * self.mean_response_time()).min(MAX_MIN_CALL_TIMEOUT)
    }
}
