//! What came about at destinations.

use super::kept::Applied;
use super::Checker;
use crate::facts::{Idempotency, Invariant};

impl Checker {
    pub(super) fn applied(&mut self, event: u64, origin: u64, effect: Idempotency) {
        while let Some(&(_, origin)) = self.fading.front().filter(|(until, _)| *until < self.now) {
            self.fading.pop_front();
            self.applied.remove(&origin);
        }
        if effect == Idempotency::Idempotent {
            return;
        }
        let first = self
            .applied
            .get(&origin)
            .map(|first| (first.at, first.event));
        match (first, effect) {
            (None, _) => {
                self.applied.insert(
                    origin,
                    Applied {
                        at: self.now,
                        event,
                    },
                );
                self.fading
                    .push_back((self.now + self.bounds.remembered, origin));
            }
            (Some((at, by)), Idempotency::NonIdempotent) => {
                let said = format!(
                    "binding effect {origin} came about twice: event {by} at {at:.3} ms, event {event}"
                );
                self.breach(Invariant::NoEffectTwice, said);
            }
            // Repeats of one event are judged as they are sent; a client's own return is its own to weigh.
            (Some(_), _) => (),
        }
    }

    pub(super) fn tipped(&mut self, lane: u32, load: &[(u32, f64)]) {
        let Some(saw) = self.saw_failure.get(&lane) else {
            return;
        };
        let total: f64 = load.iter().map(|(_, weight)| weight).sum();
        let knowing: f64 = load
            .iter()
            .filter(|(who, _)| saw.contains(who))
            .map(|(_, weight)| weight)
            .sum();
        if total > 0.0 && knowing >= self.bounds.knowing_share * total {
            let share = 100.0 * knowing / total;
            let said = format!(
                "lane {lane} was pushed over; {share:.0}% of the load came from those that knew"
            );
            self.breach(Invariant::NotPushedOver, said);
        }
    }
}
