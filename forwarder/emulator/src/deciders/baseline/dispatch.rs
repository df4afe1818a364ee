//! What a baseline does with queued events: attempts them, oldest first, or completes them.

use plankhill_decisions::interface::{Idempotency, Ms};
use rand::Rng;

use super::{Baseline, Event, LAST_MOMENT};
use crate::deciders::{Decision, EventKey};

impl Baseline {
    pub(super) fn forget(&mut self, key: EventKey, now: Ms) {
        let Some(event) = self.events.remove(&key) else {
            return;
        };
        self.ends
            .remove(&((event.patience_ends - LAST_MOMENT).max(0.0).to_bits(), key));
        if let Some(to) = self.destinations.get_mut(&event.destination) {
            to.waiting.remove(&event.order);
        }
        let Some(of) = event.key else { return };
        let Some(line) = self.keys.get_mut(&of) else {
            return;
        };
        line.queue.retain(|queued| *queued != key);
        if let Some(next) = line.queue.front().and_then(|next| self.events.get(next)) {
            self.due
                .insert((now.max(line.rests_until).to_bits(), next.destination));
        } else if line.rests_until <= now {
            self.keys.remove(&of);
        }
    }

    /// Whether no further attempt is possible.
    pub(super) fn hopeless(&self, event: &Event, now: Ms) -> bool {
        let at = now.max(event.not_before);
        let spent = event.sends >= self.terms.max_attempts.min(self.options.sends);
        let ran_out = match (
            event.may_have_run,
            self.terms.traffic_types[event.traffic].idempotency,
        ) {
            (None, _) | (_, Idempotency::Idempotent) => false,
            (Some(_), Idempotency::NonIdempotent) => true,
            (Some((sent, _)), Idempotency::Deduplicated { window, .. }) => at >= sent + window,
        };
        spent || ran_out || now >= event.patience_ends - LAST_MOMENT
    }

    pub(super) fn end(&mut self, key: EventKey, now: Ms, out: &mut Vec<Decision>) {
        let event = self.events.get_mut(&key).expect("held");
        let effect = self.terms.traffic_types[event.traffic].idempotency;
        let bound = matches!(
            effect,
            Idempotency::NonIdempotent | Idempotency::Deduplicated { per_zone: true, .. }
        );
        let dismissed = event.may_have_run.is_none() || !bound;
        let by_notification = !event.accepted_now;
        event.unacknowledged = by_notification;
        let (order, destination) = (event.order, event.destination);
        let retry_after = self.terms.max_retry_after.filter(|_| dismissed);
        out.push(Decision::Complete {
            event: key,
            dismissed,
            retry_after,
            by_notification,
        });
        if let Some(to) = self.destinations.get_mut(&destination) {
            to.waiting.remove(&order);
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
        let waiting: Vec<EventKey> = to.waiting.values().copied().collect();
        let mut next = f64::INFINITY;
        for key in waiting {
            if self.hopeless(&self.events[&key], now) {
                self.end(key, now, out);
                continue;
            }
            let (event, to) = (&self.events[&key], &self.destinations[&id]);
            let opens = if self.options.breaker {
                to.closed_until.max(to.broken_until)
            } else {
                to.closed_until
            };
            let line = event.key.and_then(|key| self.keys.get(&key));
            let rests = line
                .filter(|_| event.sends == 0)
                .map_or(0.0, |line| line.rests_until);
            let from = opens.max(event.not_before).max(rests);
            let blocked = line.is_some_and(|line| line.queue.front() != Some(&key));
            if from > now || blocked {
                if !blocked {
                    next = next.min(from);
                }
                continue;
            }
            let tripped = self.options.breaker && to.failures >= 5;
            let full = self.options.aimd && to.out as f64 >= to.allowed.max(4.0);
            if self.out >= self.terms.max_calls_in_flight
                || now >= self.sends_until
                || full
                || tripped && to.trial_out
            {
                break;
            }
            if event.sends > 0 && self.options.budget && self.tokens < 1.0 {
                self.end(key, now, out);
                continue;
            }
            self.send(key, id, now, out);
        }
        if next.is_finite() {
            self.due.insert((next.to_bits(), id));
        }
    }

    pub(super) fn send(&mut self, key: EventKey, id: u32, now: Ms, out: &mut Vec<Decision>) {
        let (event, to) = (
            self.events.get_mut(&key).expect("held"),
            self.destinations.get_mut(&id).expect("seen"),
        );
        let effect = self.terms.traffic_types[event.traffic].idempotency;
        let bound = matches!(effect, Idempotency::Deduplicated { per_zone: true, .. });
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
        self.tokens = match event.sends {
            0 => (self.tokens + 0.1).min(50.0),
            _ => self.tokens - 1.0,
        };
        event.sends += 1;
        event.out = Some(zone as u32);
        event.not_before = now;
        to.waiting.remove(&event.order);
        to.trial_out = true;
        to.out += 1;
        self.out += 1;
        let time_out = self.options.time_out.min(event.patience_ends - now);
        out.push(Decision::SendAttempt {
            event: key,
            target,
            time_out,
        });
    }
}
