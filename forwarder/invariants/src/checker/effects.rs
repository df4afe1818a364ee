//! Effects and overloads at destinations.

use super::records::AppliedEffect;
use super::Checker;
use crate::invariant::Invariant;
use crate::observation::Idempotency;

impl Checker {
    pub(super) fn apply_effect(&mut self, event: u64, origin: u64, idempotency: Idempotency) {
        self.remove_expired_effects();
        if idempotency == Idempotency::Idempotent {
            return;
        }
        let Some(first) = self.effects.get(&origin) else {
            let at = self.now;
            self.effects.insert(origin, AppliedEffect { at, event });
            let expires_at = self.now + self.bounds.effect_retention;
            self.effect_expiries.push_back((expires_at, origin));
            return;
        };
        // Retries of a deduplicated event are checked when they are sent; a repeat that a client
        // submits is the client's own responsibility.
        if idempotency == Idempotency::NonIdempotent {
            let description = format!(
                "binding effect {origin} came about twice: event {} at {:.3} ms, event {event}",
                first.event, first.at
            );
            self.report(Invariant::NoDuplicateEffect, description);
        }
    }

    fn remove_expired_effects(&mut self) {
        while let Some(&(expires_at, origin)) = self.effect_expiries.front() {
            if expires_at >= self.now {
                return;
            }
            self.effect_expiries.pop_front();
            self.effects.remove(&origin);
        }
    }

    /// Checks an overload of a lane that was warming up: a violation if at least
    /// `Bounds::informed_share` of the load came from forwarders that had observed the outage.
    pub(super) fn check_overload(&mut self, lane: u32, load: &[(u32, f64)]) {
        let Some(informed) = self.informed.get(&lane) else {
            return;
        };
        let total: f64 = load.iter().map(|(_, weight)| weight).sum();
        let by_informed = load
            .iter()
            .filter(|(forwarder, _)| informed.contains(forwarder));
        let by_informed: f64 = by_informed.map(|(_, weight)| weight).sum();
        if total > 0.0 && by_informed >= self.bounds.informed_share * total {
            let percent = 100.0 * by_informed / total;
            let description = format!(
                "lane {lane} was pushed over; {percent:.0}% of the load came from those that knew"
            );
            self.report(Invariant::NoOverloadAfterOutage, description);
        }
    }
}
