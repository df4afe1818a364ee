//! The lifecycle of an accepted event: acceptance, completion, and removal of its record.

use super::records::{KeyQueueId, PendingEvent, SentAttempt};
use super::Checker;
use crate::invariant::Invariant;
use crate::observation::{Completion, Idempotency, Ms};

impl Checker {
    pub(super) fn accept(
        &mut self,
        forwarder: u32,
        number: u64,
        idempotency: Idempotency,
        key: Option<u64>,
        deadline: Ms,
    ) {
        self.accepted += 1;
        let event = PendingEvent {
            accepted_by: forwarder,
            idempotency,
            key,
            deadline,
            in_flight: false,
            may_have_run: None,
            last_attempt: SentAttempt { at: 0.0, group: 0 },
            is_completed: false,
            awaits_acknowledgement: false,
            is_unconfirmed: false,
        };
        if let Some(id) = event.queue_id() {
            self.key_queues
                .entry(id)
                .or_default()
                .events
                .push_back(number);
        }
        if self.events.insert(number, event).is_some() {
            let description = format!("event {number} was taken twice");
            self.report(Invariant::CompletedOnce, description);
        }
    }

    pub(super) fn complete(&mut self, number: u64, completion: Completion, by_notification: bool) {
        let Some(event) = self.events.get(&number) else {
            let description = format!("event {number} ended, but is not owed");
            self.report(Invariant::CompletedOnce, description);
            return;
        };
        if event.is_completed {
            let description = format!("event {number} ended a second time");
            self.report(Invariant::CompletedOnce, description);
            return;
        }
        self.check_deadline(number);
        self.check_rejection(number, completion);
        self.completed += 1;
        let event = self.events.get_mut(&number).expect("was found above");
        event.is_completed = true;
        event.awaits_acknowledgement = by_notification;
        self.remove_if_finished(number);
    }

    fn check_deadline(&mut self, number: u64) {
        let event = &self.events[&number];
        let deadline = event.deadline;
        let is_late = self.now > deadline + self.bounds.rounding && !event.is_unconfirmed;
        if is_late && !self.is_excused(event.accepted_by, deadline) {
            let late = self.now - deadline;
            let description = format!("event {number} ended {late:.1} ms after its patience");
            self.report(Invariant::CompletedOnce, description);
        }
    }

    /// Checks that an event is rejected only if its client may submit it again without harm.
    fn check_rejection(&mut self, number: u64, completion: Completion) {
        let event = &self.events[&number];
        let may_run_again =
            event.may_have_run.is_some() && !event.idempotency.allows_resubmission();
        if completion == Completion::Rejected && may_run_again {
            let description = format!("event {number} may have run and was dismissed");
            self.report(Invariant::NoDuplicateEffect, description);
        }
    }

    pub(super) fn acknowledge(&mut self, number: u64) {
        if let Some(event) = self.events.get_mut(&number) {
            event.awaits_acknowledgement = false;
            self.remove_if_finished(number);
        }
    }

    pub(super) fn lose(&mut self, number: u64) {
        if let Some(event) = self.events.get_mut(&number) {
            event.is_completed = true;
            event.awaits_acknowledgement = false;
            event.in_flight = false;
            self.completed += 1;
            self.remove_if_finished(number);
        }
    }

    /// Whether the forwarder was halted at the deadline, and has not had enough time since then.
    pub(super) fn is_excused(&self, forwarder: u32, deadline: Ms) -> bool {
        let Some(record) = self.forwarders.get(&forwarder) else {
            return false;
        };
        let Some(halt) = &record.last_halt else {
            return false;
        };
        let grace = self.bounds.resumption_grace;
        if let Some(takeover_timeout) = self.bounds.takeover_timeout {
            let takeover_ends = halt.began.max(deadline) + takeover_timeout;
            let resumption_ends = halt.ended + grace;
            return halt.began <= deadline + grace
                && self.now <= takeover_ends.min(resumption_ends);
        }
        let had_no_time = record.is_halted || self.now <= halt.ended + grace;
        had_no_time && deadline + grace >= halt.began
    }

    pub(super) fn resume(&mut self, forwarder: u32, is_new_process: bool) {
        let record = self.forwarders.entry(forwarder).or_default();
        record.is_halted = false;
        if let Some(halt) = &mut record.last_halt {
            halt.ended = self.now;
        }
        if is_new_process {
            record.retry_after_ends.clear();
        }
    }

    pub(super) fn remove_if_finished(&mut self, number: u64) {
        let Some(event) = self.events.get(&number) else {
            return;
        };
        if !event.is_completed || event.awaits_acknowledgement || event.in_flight {
            return;
        }
        let queue_id = event.queue_id();
        self.events.remove(&number);
        let Some(id) = queue_id else {
            return;
        };
        if let Some(queue) = self.key_queues.get_mut(&id) {
            queue.events.retain(|&queued| queued != number);
        }
        self.remove_key_if_idle(id);
    }

    /// Starts the cool-down of the key of an event whose attempt was cut short and may still be
    /// executing.
    pub(super) fn cool_down_key(&mut self, id: KeyQueueId, number: u64) {
        let Some(queue) = self.key_queues.get_mut(&id) else {
            return;
        };
        let ends = self.now + self.bounds.key_cooldown;
        queue.cooldown_ends = ends;
        queue.cooldown_for = number;
        self.cooldowns.push_back((ends, id));
    }

    pub(super) fn remove_key_if_idle(&mut self, id: KeyQueueId) {
        let Some(queue) = self.key_queues.get(&id) else {
            return;
        };
        if queue.events.is_empty() && queue.cooldown_ends <= self.now {
            self.key_queues.remove(&id);
        }
    }
}
