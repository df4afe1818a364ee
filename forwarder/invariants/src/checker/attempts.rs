//! Checks of attempts and health checks when they are sent, and of the ends of attempts.

use super::records::SentAttempt;
use super::Checker;
use crate::invariant::Invariant;
use crate::observation::{AttemptEnd, Idempotency};

impl Checker {
    pub(super) fn send_attempt(
        &mut self,
        forwarder: u32,
        number: u64,
        target: u32,
        group: u32,
        lane: u32,
    ) {
        self.check_draining(forwarder, target, "an event");
        self.check_retry_after(forwarder, lane, "an event");
        let Some(event) = self.events.get(&number) else {
            let description = format!("event {number} was sent, but is not owed");
            self.report(Invariant::CompletedOnce, description);
            return;
        };
        if event.is_completed {
            let description = format!("event {number} was sent after its end");
            self.report(Invariant::CompletedOnce, description);
        }
        self.check_repeat(number, group);
        let event = self.events.get_mut(&number).expect("was found above");
        event.in_flight = true;
        event.last_attempt = SentAttempt {
            at: self.now,
            group,
        };
        self.check_key_order(number);
    }

    /// Checks that the attempt can't make the event take effect a second time.
    fn check_repeat(&mut self, number: u64, group: u32) {
        let event = &self.events[&number];
        let idempotency = event.idempotency;
        let may_have_run = event.may_have_run;
        if event.in_flight {
            let description = format!("event {number} was sent while a send of it was out");
            self.report(Invariant::NoDuplicateEffect, description);
        }
        let Some(first) = may_have_run else {
            return;
        };
        let violation = match idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some(format!(
                "binding event {number} may have run, was sent again"
            )),
            Idempotency::Deduplicated { window, .. }
                if self.now > first.at + window + self.bounds.rounding =>
            {
                Some(format!("event {number} was sent again after its window"))
            }
            Idempotency::Deduplicated { one_group, .. } if one_group && first.group != group => {
                Some(format!("event {number} was sent again outside its group"))
            }
            Idempotency::Deduplicated { .. } => None,
        };
        if let Some(description) = violation {
            self.report(Invariant::NoDuplicateEffect, description);
        }
    }

    /// Checks that the event is the next one of its key, and that the key has cooled down.
    fn check_key_order(&mut self, number: u64) {
        let event = &self.events[&number];
        if event.is_unconfirmed {
            return;
        }
        let Some(queue) = event.queue_id().and_then(|id| self.key_queues.get(&id)) else {
            return;
        };
        let overtakes = queue.events.front() != Some(&number);
        let is_cooling_down = self.now + self.bounds.rounding < queue.cooldown_ends;
        let waits_for_cooldown = is_cooling_down && queue.cooldown_for != number;
        if overtakes {
            let description = format!("event {number} overtook an earlier one of its key");
            self.report(Invariant::KeyOrder, description);
        }
        if waits_for_cooldown {
            let description = format!("event {number} was sent while its key rested");
            self.report(Invariant::KeyOrder, description);
        }
    }

    pub(super) fn list_endpoint(
        &mut self,
        forwarder: u32,
        target: u32,
        is_draining: bool,
        now: f64,
    ) {
        let record = self.forwarders.entry(forwarder).or_default();
        if is_draining {
            record.draining_since.entry(target).or_insert(now);
        } else {
            record.draining_since.remove(&target);
        }
    }

    pub(super) fn check_draining(&mut self, forwarder: u32, target: u32, what: &str) {
        let Some(record) = self.forwarders.get(&forwarder) else {
            return;
        };
        let Some(&since) = record.draining_since.get(&target) else {
            return;
        };
        if self.now > since + self.bounds.drain_grace + self.bounds.rounding {
            let late = self.now - since;
            let description =
                format!("{what} went to target {target}, {late:.1} ms after it was told to leave");
            self.report(Invariant::DrainsRespected, description);
        }
    }

    pub(super) fn check_retry_after(&mut self, forwarder: u32, lane: u32, what: &str) {
        let Some(record) = self.forwarders.get_mut(&forwarder) else {
            return;
        };
        let Some(&ends) = record.retry_after_ends.get(&lane) else {
            return;
        };
        if self.now + self.bounds.rounding >= ends {
            record.retry_after_ends.remove(&lane);
            return;
        }
        let early = ends - self.now;
        let description =
            format!("{what} went to lane {lane}, {early:.1} ms before a told wait ended");
        self.report(Invariant::RetryAftersRespected, description);
    }

    pub(super) fn end_attempt(&mut self, number: u64, outcome: AttemptEnd) {
        let Some(event) = self.events.get_mut(&number) else {
            let description = format!("a send of event {number} ended, but it is not owed");
            self.report(Invariant::CompletedOnce, description);
            return;
        };
        event.in_flight = false;
        if matches!(outcome, AttemptEnd::Error | AttemptEnd::CutShort) {
            event.may_have_run.get_or_insert(event.last_attempt);
        }
        if outcome == AttemptEnd::CutShort {
            if let Some(id) = event.queue_id() {
                self.cool_down_key(id, number);
            }
        }
        self.remove_if_finished(number);
    }
}
