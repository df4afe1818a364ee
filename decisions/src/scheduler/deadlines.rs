//! Limits on the attempts of an event: its deadline, its maximum number of attempts, and the time
//! for which its target detects a repeat.

use super::context::Context;
use crate::interface::{Idempotency, Ms};
use crate::state::PendingEvent;

/// Time before its deadline at which a queued event is completed, so that the answer arrives in
/// time.
const DEADLINE_MARGIN: Ms = 30.0;

impl Context {
    /// Returns the time from which the event may no longer be attempted, because it may have run or
    /// has used up its attempts. Negative infinity if that is already the case.
    pub(super) fn retries_end(&self, event: &PendingEvent) -> Ms {
        if event.attempts >= self.config.max_attempts {
            return f64::NEG_INFINITY;
        }
        let is_non_idempotent = self.idempotency(event) == Idempotency::NonIdempotent;
        if is_non_idempotent && event.may_have_run.is_some() {
            return f64::NEG_INFINITY;
        }
        self.deduplication_ends(event)
    }

    /// Returns the end of the deduplication window of an event that may have run, after which a
    /// repeat could run a second time. Infinite for every other event.
    pub(super) fn deduplication_ends(&self, event: &PendingEvent) -> Ms {
        match (event.may_have_run, self.idempotency(event)) {
            (Some(execution), Idempotency::Deduplicated { window, .. }) => {
                execution.sent_at + window
            }
            _ => f64::INFINITY,
        }
    }

    /// Returns the time at which a queued event is completed without delivery.
    pub(super) fn completion_due_at(&self, event: &PendingEvent) -> Ms {
        self.retries_end(event)
            .min(event.deadline - DEADLINE_MARGIN)
    }

    /// Returns whether a queued event is to be completed now, because no further attempt is
    /// possible or its deadline is near.
    pub(super) fn is_undeliverable(&self, event: &PendingEvent) -> bool {
        let next_attempt_at = self.now.max(event.not_before);
        next_attempt_at >= self.retries_end(event) || self.now >= event.deadline - DEADLINE_MARGIN
    }

    pub(super) fn idempotency(&self, event: &PendingEvent) -> Idempotency {
        self.config.traffic_types[event.traffic_type.0].idempotency
    }
}
