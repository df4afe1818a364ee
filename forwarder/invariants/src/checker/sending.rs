//! What goes to targets: whether it may, and how it ended.

use super::Checker;
use crate::facts::{Cut, Idempotency, Invariant};

impl Checker {
    pub(super) fn sent(&mut self, forwarder: u32, event: u64, target: u32, group: u32, lane: u32) {
        self.drains(forwarder, target, "an event");
        self.waits(forwarder, lane, "an event");
        let (now, rounding) = (self.now, self.bounds.rounding);
        let Some(owed) = self.owed.get_mut(&event) else {
            return self.breach(
                Invariant::OneEnd,
                format!("event {event} was sent, but is not owed"),
            );
        };
        let mut broken = Vec::new();
        if owed.ended {
            broken.push((
                Invariant::OneEnd,
                format!("event {event} was sent after its end"),
            ));
        }
        if owed.out {
            broken.push((
                Invariant::NoEffectTwice,
                format!("event {event} was sent while a send of it was out"),
            ));
        }
        if let Some((first, ran_in)) = owed.may_have_run {
            match owed.effect {
                Idempotency::Idempotent => (),
                Idempotency::NonIdempotent => broken.push((
                    Invariant::NoEffectTwice,
                    format!("binding event {event} may have run, was sent again"),
                )),
                Idempotency::Deduplicated { window, .. } if now > first + window + rounding => {
                    broken.push((
                        Invariant::NoEffectTwice,
                        format!("event {event} was sent again after its window"),
                    ))
                }
                Idempotency::Deduplicated {
                    one_group: true, ..
                } if ran_in != group => broken.push((
                    Invariant::NoEffectTwice,
                    format!("event {event} was sent again outside its group"),
                )),
                Idempotency::Deduplicated { .. } => (),
            }
        }
        (owed.out, owed.sent) = (true, (now, group));
        let line = owed
            .key
            .and_then(|key| self.lines.get(&(owed.forwarder, key)));
        if let Some(line) = line.filter(|_| !owed.unpromised) {
            if line.queue.front() != Some(&event) {
                broken.push((
                    Invariant::KeyOrder,
                    format!("event {event} overtook an earlier one of its key"),
                ));
            }
            if now + rounding < line.rests_until && line.rests_for != event {
                broken.push((
                    Invariant::KeyOrder,
                    format!("event {event} was sent while its key rested"),
                ));
            }
        }
        broken
            .into_iter()
            .for_each(|(rule, what)| self.breach(rule, what));
    }

    pub(super) fn drains(&mut self, forwarder: u32, target: u32, what: &str) {
        let since = self
            .forwarders
            .get(&forwarder)
            .and_then(|it| it.leaving.get(&target))
            .copied();
        if let Some(since) =
            since.filter(|since| self.now > since + self.bounds.grace + self.bounds.rounding)
        {
            let late = self.now - since;
            let said =
                format!("{what} went to target {target}, {late:.1} ms after it was told to leave");
            self.breach(Invariant::DrainsKept, said);
        }
    }

    pub(super) fn waits(&mut self, forwarder: u32, lane: u32, what: &str) {
        let Some(it) = self.forwarders.get_mut(&forwarder) else {
            return;
        };
        let Some(&until) = it.waits.get(&lane) else {
            return;
        };
        if self.now + self.bounds.rounding < until {
            let said = format!(
                "{what} went to lane {lane}, {:.1} ms before a told wait ended",
                until - self.now
            );
            return self.breach(Invariant::WaitsHeeded, said);
        }
        it.waits.remove(&lane);
    }

    pub(super) fn send_over(&mut self, event: u64, cut: Cut) {
        let (now, rest) = (self.now, self.bounds.key_rest);
        let Some(owed) = self.owed.get_mut(&event) else {
            return self.breach(
                Invariant::OneEnd,
                format!("a send of event {event} ended, but it is not owed"),
            );
        };
        owed.out = false;
        if matches!(cut, Cut::Error | Cut::Short) {
            owed.may_have_run.get_or_insert(owed.sent);
        }
        let place = owed
            .key
            .filter(|_| cut == Cut::Short)
            .map(|key| (owed.forwarder, key));
        if let Some(line) = place.and_then(|place| self.lines.get_mut(&place)) {
            (line.rests_until, line.rests_for) = (now + rest, event);
            self.resting.push_back((now + rest, place.expect("found")));
        }
        self.forget_if_over(event);
    }
}
