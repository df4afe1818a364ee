//! What is owed from when to when.

use super::kept::{Line, Owed};
use super::Checker;
use crate::facts::{Completion, Idempotency, Invariant, Ms};

impl Checker {
    pub(super) fn taken(
        &mut self,
        forwarder: u32,
        event: u64,
        effect: Idempotency,
        key: Option<u64>,
        patience_ends: Ms,
    ) {
        self.taken += 1;
        if let Some(key) = key {
            self.lines
                .entry((forwarder, key))
                .or_default()
                .queue
                .push_back(event);
        }
        let owed = Owed {
            forwarder,
            effect,
            key,
            patience_ends,
            out: false,
            may_have_run: None,
            sent: (0.0, 0),
            ended: false,
            unheard: false,
            unpromised: false,
        };
        if self.owed.insert(event, owed).is_some() {
            self.breach(Invariant::OneEnd, format!("event {event} was taken twice"));
        }
    }

    pub(super) fn ended(&mut self, event: u64, end: Completion, by_notice: bool) {
        let (now, rounding) = (self.now, self.bounds.rounding);
        let Some(owed) = self.owed.get(&event) else {
            return self.breach(
                Invariant::OneEnd,
                format!("event {event} ended, but is not owed"),
            );
        };
        if owed.ended {
            return self.breach(
                Invariant::OneEnd,
                format!("event {event} ended a second time"),
            );
        }
        let (effect, ran, ends) = (owed.effect, owed.may_have_run.is_some(), owed.patience_ends);
        let late = now > ends + rounding && !owed.unpromised;
        if late && !self.excused(owed.forwarder, ends) {
            self.breach(
                Invariant::OneEnd,
                format!(
                    "event {event} ended {:.1} ms after its patience",
                    now - ends
                ),
            );
        }
        // Its client may hand it in again: only where that does no harm.
        let bound = effect == Idempotency::NonIdempotent
            || matches!(
                effect,
                Idempotency::Deduplicated {
                    one_group: true,
                    ..
                }
            );
        if end == Completion::Rejected && ran && bound {
            self.breach(
                Invariant::NoEffectTwice,
                format!("event {event} may have run and was dismissed"),
            );
        }
        self.ends += 1;
        let owed = self.owed.get_mut(&event).expect("seen");
        (owed.ended, owed.unheard) = (true, by_notice);
        self.forget_if_over(event);
    }

    /// The forwarder could not act when the patience ended, and has not had the time to since.
    pub(super) fn excused(&self, forwarder: u32, patience_ends: Ms) -> bool {
        let Some(it) = self.forwarders.get(&forwarder) else {
            return false;
        };
        let Some((resumed, halted)) = it.pause else {
            return false;
        };
        if let Some(within) = self.bounds.heir_within {
            let heir_has_it = halted.max(patience_ends) + within;
            let has_it_back = resumed + self.bounds.after_halt;
            return halted <= patience_ends + self.bounds.after_halt
                && self.now <= heir_has_it.min(has_it_back);
        }
        let just = it.halted || self.now <= resumed + self.bounds.after_halt;
        just && patience_ends + self.bounds.after_halt >= halted
    }

    pub(super) fn resumed(&mut self, forwarder: u32, anew: bool) {
        let now = self.now;
        let it = self.forwarders.entry(forwarder).or_default();
        it.halted = false;
        if let Some((resumed, _)) = &mut it.pause {
            *resumed = now;
        }
        if anew {
            it.waits.clear();
        }
    }

    pub(super) fn forget_if_over(&mut self, event: u64) {
        let Some(owed) = self.owed.get(&event) else {
            return;
        };
        if !owed.ended || owed.unheard || owed.out {
            return;
        }
        let place = owed.key.map(|key| (owed.forwarder, key));
        self.owed.remove(&event);
        let Some(place) = place else { return };
        if let Some(line) = self.lines.get_mut(&place) {
            line.queue.retain(|&queued| queued != event);
        }
        self.forget_if_empty(place);
    }

    pub(super) fn forget_if_empty(&mut self, place: (u32, u64)) {
        let over = |line: &Line| line.queue.is_empty() && line.rests_until <= self.now;
        if self.lines.get(&place).is_some_and(over) {
            self.lines.remove(&place);
        }
    }
}
