//! Selection of the target of a call among the targets that accept one.

use super::context::{Context, Draw};
use crate::interface::{Effects, Ms};
use crate::state::{Destination, EventNumber, LaneTarget, PendingEvent, Target};

impl Context {
    /// Returns whether an attempt of the event may be sent to the target. Where targets detect
    /// repeats only within a zone, an event that may have run stays in the zone of its first
    /// attempt that may have run.
    pub(super) fn may_attempt(&self, event: &PendingEvent, target: &Target) -> bool {
        match event.may_have_run {
            Some(execution) if self.idempotency(event).retries_in_zone() => {
                execution.zone == target.zone
            }
            _ => true,
        }
    }
}

impl Destination {
    /// Selects the target for a call whose first event is given: the one that the host selects, or
    /// else the better of two randomly drawn targets (power of two choices).
    ///
    /// # Panics
    ///
    /// If the event may be sent to none of the targets.
    pub(super) fn select_target(
        &self,
        context: &mut Context,
        first_event: EventNumber,
        targets: &[LaneTarget],
        effects: &mut impl Effects,
    ) -> LaneTarget {
        let event = &self.events[&first_event];
        let may_attempt = |&target: &LaneTarget| context.may_attempt(event, self.target_at(target));
        let candidates: Vec<LaneTarget> = targets.iter().copied().filter(may_attempt).collect();
        let drawn = self.better_of_two(context, &candidates);
        let mut ids = candidates
            .iter()
            .map(|&candidate| &self.target_at(candidate).id);
        match effects.select_target(&event.id, &mut ids) {
            Some(selected) if selected < candidates.len() => candidates[selected],
            _ => candidates[drawn],
        }
    }

    /// Returns the position of the better of two randomly drawn candidates.
    fn better_of_two(&self, context: &mut Context, candidates: &[LaneTarget]) -> usize {
        let count = candidates.len();
        let first = (context.draw(Draw::FirstCandidate) * count as f64) as usize;
        let distance = (context.draw(Draw::SecondCandidate) * (count.max(2) - 1) as f64) as usize;
        let second = (first + 1 + distance) % count;
        let cost = |candidate: usize| {
            self.target_at(candidates[candidate])
                .selection_cost(context.now)
        };
        if cost(second) < cost(first) {
            second
        } else {
            first
        }
    }
}

impl Target {
    /// Returns the cost of selecting the target; the target with the lowest cost is preferred. A
    /// target that is not ejected comes first, then one with fewer calls in flight, then one with
    /// an idle connection, because opening a new one has a cost.
    fn selection_cost(&self, now: Ms) -> (bool, usize, bool) {
        (
            self.ejected_until > now,
            self.calls_in_flight,
            self.idle_since.is_none(),
        )
    }
}
