//! Until when an event may be attempted: its deadline, its number of attempts, and the time for
//! which its target recognizes a repeat.

use super::context::Context;
use crate::interface::{Idempotency, Ms};
use crate::state::PendingEvent;

/// A queued event is completed so long before its deadline that the answer is in time.
const DEADLINE_MARGIN: Ms = 30.0;

impl Context {
    /// When the event may no longer be attempted because it may have run, or has had all its
    /// attempts. In the past if that is so already.
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

    /// When the destination forgets the fingerprint of an event that may have run. Infinite for
    /// every other event. A repeat after that could run a second time.
    pub(super) fn deduplication_ends(&self, event: &PendingEvent) -> Ms {
        match (event.may_have_run, self.idempotency(event)) {
            (Some(execution), Idempotency::Deduplicated { window, .. }) => {
                execution.sent_at + window
            }
            _ => f64::INFINITY,
        }
    }

    /// When a queued event is completed without a delivery.
    pub(super) fn completion_due_at(&self, event: &PendingEvent) -> Ms {
        self.retries_end(event)
            .min(event.deadline - DEADLINE_MARGIN)
    }

    /// Whether a queued event is to be completed now: no further attempt is possible, or its
    /// deadline is near.
    pub(super) fn is_hopeless(&self, event: &PendingEvent) -> bool {
        let next_attempt_at = self.now.max(event.not_before);
        next_attempt_at >= self.retries_end(event) || self.now >= event.deadline - DEADLINE_MARGIN
    }

    pub(super) fn idempotency(&self, event: &PendingEvent) -> Idempotency {
        self.config.traffic_types[event.traffic_type.0].idempotency
    }
}
