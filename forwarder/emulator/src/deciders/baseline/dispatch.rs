//! Handles the queued events of a baseline: attempts them, oldest first, or completes them.

use plankhill_decisions::interface::{Idempotency, Ms};
use rand::Rng;

use super::{Baseline, Event, DEADLINE_MARGIN};
use crate::deciders::{Decision, EventKey};

impl Baseline {
    pub(super) fn forget(&mut self, key: EventKey, now: Ms) {
        let Some(event) = self.events.remove(&key) else {
            return;
        };
        self.completions_due
            .remove(&((event.deadline - DEADLINE_MARGIN).max(0.0).to_bits(), key));
        if let Some(to) = self.destinations.get_mut(&event.destination) {
            to.queued_events.remove(&event.order);
        }
        let Some(of) = event.key else { return };
        let Some(key_queue) = self.keys.get_mut(&of) else {
            return;
        };
        key_queue.queue.retain(|queued| *queued != key);
        if let Some(next) = key_queue
            .queue
            .front()
            .and_then(|next| self.events.get(next))
        {
            self.due
                .insert((now.max(key_queue.cooldown_ends).to_bits(), next.destination));
        } else if key_queue.cooldown_ends <= now {
            self.keys.remove(&of);
        }
    }

    /// Whether the event can't be attempted again.
    pub(super) fn is_exhausted(&self, event: &Event, now: Ms) -> bool {
        let at = now.max(event.not_before);
        let attempts_used_up =
            event.attempts >= self.config.max_attempts.min(self.options.attempts);
        let repeat_forbidden = match (
            event.may_have_run,
            self.config.traffic_types[event.traffic].idempotency,
        ) {
            (None, _) | (_, Idempotency::Idempotent) => false,
            (Some(_), Idempotency::NonIdempotent) => true,
            (Some((sent, _)), Idempotency::Deduplicated { window, .. }) => at >= sent + window,
        };
        attempts_used_up || repeat_forbidden || now >= event.deadline - DEADLINE_MARGIN
    }

    pub(super) fn complete(&mut self, key: EventKey, now: Ms, out: &mut Vec<Decision>) {
        let event = self.events.get_mut(&key).expect("the event is pending");
        let idempotency = self.config.traffic_types[event.traffic].idempotency;
        let bound = matches!(
            idempotency,
            Idempotency::NonIdempotent | Idempotency::Deduplicated { per_zone: true, .. }
        );
        let is_rejected = event.may_have_run.is_none() || !bound;
        let by_notification = !event.accepted_now;
        event.unacknowledged = by_notification;
        let order = event.order;
        let destination = event.destination;
        let retry_after = self.config.max_retry_after.filter(|_| is_rejected);
        out.push(Decision::Complete {
            event: key,
            dismissed: is_rejected,
            retry_after,
            by_notification,
        });
        if let Some(to) = self.destinations.get_mut(&destination) {
            to.queued_events.remove(&order);
        }
        if !by_notification {
            self.forget(key, now);
        }
    }

    /// Attempts the destination's queued events, oldest first, as far as its limits allow.
    pub(super) fn serve(&mut self, id: u32, now: Ms, out: &mut Vec<Decision>) {
        let Some(to) = self.destinations.get(&id) else {
            return;
        };
        let queued_events: Vec<EventKey> = to.queued_events.values().copied().collect();
        let mut next = f64::INFINITY;
        for key in queued_events {
            if self.is_exhausted(&self.events[&key], now) {
                self.complete(key, now, out);
                continue;
            }
            let event = &self.events[&key];
            let to = &self.destinations[&id];
            let opens = if self.options.breaker {
                to.retry_after_ends.max(to.breaker_open_until)
            } else {
                to.retry_after_ends
            };
            let key_queue = event.key.and_then(|key| self.keys.get(&key));
            let cooldown_ends = key_queue
                .filter(|_| event.attempts == 0)
                .map_or(0.0, |key_queue| key_queue.cooldown_ends);
            let from = opens.max(event.not_before).max(cooldown_ends);
            let blocked = key_queue.is_some_and(|key_queue| key_queue.queue.front() != Some(&key));
            if from > now || blocked {
                if !blocked {
                    next = next.min(from);
                }
                continue;
            }
            let tripped = self.options.breaker && to.failures >= 5;
            let full = self.options.aimd && to.out as f64 >= to.max_calls.max(4.0);
            if self.out >= self.config.max_calls_in_flight
                || now >= self.last_send_at
                || full
                || tripped && to.trial_in_flight
            {
                break;
            }
            if event.attempts > 0 && self.options.budget && self.retry_budget < 1.0 {
                self.complete(key, now, out);
                continue;
            }
            self.send(key, id, now, out);
        }
        if next.is_finite() {
            self.due.insert((next.to_bits(), id));
        }
    }

    pub(super) fn send(&mut self, key: EventKey, id: u32, now: Ms, out: &mut Vec<Decision>) {
        let event = self.events.get_mut(&key).expect("the event is pending");
        let to = self.destinations.get_mut(&id).expect("seen");
        let idempotency = self.config.traffic_types[event.traffic].idempotency;
        let bound = matches!(
            idempotency,
            Idempotency::Deduplicated { per_zone: true, .. }
        );
        let ran_in = event.may_have_run.filter(|_| bound).map(|(_, zone)| zone);
        let fits = |zone: usize| ran_in.is_none_or(|ran_in| ran_in == zone);
        let running: Vec<_> = to
            .targets
            .iter()
            .filter(|(_, zone, runs)| *runs && fits(*zone))
            .collect();
        if running.is_empty() {
            return;
        }
        let &(target, zone, _) = running[self.rng.random_range(0..running.len() as u32) as usize];
        self.retry_budget = match event.attempts {
            0 => (self.retry_budget + 0.1).min(50.0),
            _ => self.retry_budget - 1.0,
        };
        event.attempts += 1;
        event.out = Some(zone as u32);
        event.not_before = now;
        to.queued_events.remove(&event.order);
        to.trial_in_flight = true;
        to.out += 1;
        self.out += 1;
        let timeout = self.options.timeout.min(event.deadline - now);
        out.push(Decision::SendAttempt {
            event: key,
            target,
            timeout,
        });
    }
}
