//! Derives when a call was sent and when it ended, and whether its answer was read, from what the test doubles
//! recorded.

use std::collections::HashMap;

use plankhill_invariants::Ms;

use super::{Call, TraceAnalysis};
use crate::trace::TraceRecord;

/// Maximum delay with which a test double detects the end of a connection, and time after the recorded end of an
/// impairment for which a busy or suspended process may still miss an answer.
pub(super) const MAX_DETECTION_DELAY: Ms = 300.0;
/// An answer written less than this time before its reader was impaired may never have been read.
const UNREAD_ANSWER_WINDOW: Ms = 1_000.0;
/// A call whose connection closed less than this time after the call was first read had already ended before that.
const IMMEDIATE_CLOSE: Ms = 20.0;
/// Maximum delay with which a test double on a busy machine detects that the caller gave up a call.
const MAX_GIVE_UP_DETECTION_DELAY: Ms = 1_500.0;

impl TraceAnalysis {
    /// Backdates calls whose caller closed the connection before they were read: a test double on a busy machine
    /// read them late, and the time of sending is unknown. They count as sent before all other records of their
    /// event.
    pub(super) fn backdate_abandoned_calls(&mut self, all: &[(Ms, TraceRecord)]) {
        let late = |call: &Call| {
            call.answered.is_none()
                && call
                    .closed_at
                    .is_some_and(|closed_at| closed_at - call.started_at < IMMEDIATE_CLOSE)
        };
        let mut first: HashMap<u64, Ms> = HashMap::new();
        let started = self
            .calls
            .values()
            .map(|call| (call.event, call.started_at));
        let notified = all.iter().filter_map(|(at, record)| match record {
            TraceRecord::NotificationReceived { event, .. } => Some((*event, *at)),
            _ => None,
        });
        for (event, at) in started.chain(notified) {
            let known = first.entry(event).or_insert(at);
            *known = known.min(at);
        }
        for call in self.calls.values_mut().filter(|call| late(call)) {
            call.started_at = first[&call.event] - 0.01;
            call.closed_at = Some(call.started_at);
        }
    }

    /// Whether the instance certainly read the answer that was written to it at `at`.
    pub(super) fn is_surely_read(&self, call: &Call, at: Ms) -> bool {
        let impairments = self.impairments.get(&call.instance);
        let is_impaired = impairments.is_some_and(|all| {
            all.iter()
                .any(|(from, to)| at > from - UNREAD_ANSWER_WINDOW && at < to + MAX_DETECTION_DELAY)
        });
        // The caller may have given up the call; on a busy machine, this may be detected after an answer was written
        // in time.
        let is_given_up = call.closed_at.is_some_and(|closed_at| {
            closed_at < call.started_at + call.timeout + MAX_GIVE_UP_DETECTION_DELAY
        });
        !is_impaired && !is_given_up && at < call.started_at + call.timeout
    }

    /// Moves the end of an event whose delivery may be unknown to the forwarders to the end of its last call. Returns
    /// `false` if the last call ended without a delivery: the event is then still pending.
    pub(super) fn extend_to_last_call(&self, event: u64, end: &mut (Ms, usize), now: Ms) -> bool {
        let received = self
            .calls
            .values()
            .filter(|call| call.event == event && call.received_at.is_some());
        let Some(last) = received.max_by(|a, b| a.started_at.total_cmp(&b.started_at)) else {
            return true;
        };
        let delivered = matches!(last.answered, Some((_, 200)));
        let is_in_flight = last.answered.is_none()
            && last.closed_at.is_none()
            && now < last.started_at + last.timeout;
        end.0 = end.0.max(self.ended_at(last));
        delivered || is_in_flight
    }

    /// The time at which the call ended for its caller.
    pub(super) fn ended_at(&self, call: &Call) -> Ms {
        let timed_out = call.started_at + call.timeout;
        let answered = call.answered.map(|(at, _)| at);
        if let Some(at) = answered.filter(|at| self.is_surely_read(call, *at)) {
            return at;
        }
        let earliest_end = call
            .closed_at
            .into_iter()
            .chain(answered)
            .fold(timed_out, f64::min);
        // The end of a call may be detected late; the next call of the event is recorded on time.
        let next = self
            .calls
            .values()
            .filter(|next| next.event == call.event && next.started_at > call.started_at);
        next.map(|next| next.started_at)
            .filter(|started_at| started_at + MAX_DETECTION_DELAY >= earliest_end)
            .fold(earliest_end, f64::min)
    }
}
