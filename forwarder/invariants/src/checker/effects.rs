//! What came about at destinations: effects, and overloads.

use super::records::AppliedEffect;
use super::Checker;
use crate::invariant::Invariant;
use crate::observation::Idempotency;

impl Checker {
    pub(super) fn apply_effect(&mut self, event: u64, origin: u64, idempotency: Idempotency) {
        self.forget_old_effects();
        if idempotency == Idempotency::Idempotent {
            return;
        }
        let Some(first) = self.effects.get(&origin) else {
            let at = self.now;
            self.effects.insert(origin, AppliedEffect { at, event });
            let forgotten_at = self.now + self.bounds.effects_remembered_for;
            self.effects_to_forget.push_back((forgotten_at, origin));
            return;
        };
        // Retries of a deduplicated event are judged when they are sent; a client that submits an
        // event again answers for that itself.
        if idempotency == Idempotency::NonIdempotent {
            let description = format!(
                "binding effect {origin} came about twice: event {} at {:.3} ms, event {event}",
                first.event, first.at
            );
            self.report(Invariant::NoDuplicateEffect, description);
        }
    }

    fn forget_old_effects(&mut self) {
        while let Some(&(forgotten_at, origin)) = self.effects_to_forget.front() {
            if forgotten_at >= self.now {
                return;
            }
            self.effects_to_forget.pop_front();
            self.effects.remove(&origin);
        }
    }

    /// A lane that was warming up fell over: a violation if most of the load came from forwarders
    /// that had seen the outage.
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
