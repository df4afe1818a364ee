//! Clients: submit events, receive completions, and submit rejected events again.

use plankhill_decisions::interface::{EndpointState, Ms};
use plankhill_invariants::{Completion, Observation};

use super::state::{Event, Incoming};
use super::{Step, World};
use crate::clients::ClientEvent;
use crate::deciders::{EventKey, Input};
use crate::outcome::LossCause;
use crate::random::{between, exponential, uniform};

/// An event with less time to its deadline is rejected at submission.
const MIN_TIME_TO_DEADLINE: Ms = 100.0;
/// The mean time before a client submits again in a retry storm.
const RETRY_STORM_PAUSE: Ms = 50.0;

impl World<'_> {
    /// Routes an event through the layer before the forwarders: events of one key go to one forwarder
    /// as long as the layer considers it up.
    pub(super) fn submit(&mut self, client_event: ClientEvent) {
        self.tally.totals.handed_in += 1;
        let count = self.forwarders.len();
        let first = match client_event.key {
            Some(key) => (key.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) as usize % count,
            None => (uniform(&mut self.rng_resubmissions) * count as f64) as usize,
        };
        let lag = self.scenario.forwarders.routing_lag;
        let believed = |at: &usize| {
            let forwarder = &self.forwarders[*at];
            forwarder.closing.is_none()
                && forwarder.died_at.is_none_or(|died| self.now < died + lag)
        };
        let chosen = (0..count).map(|step| (first + step) % count).find(believed);
        let Some(chosen) = chosen.filter(|at| self.forwarders[*at].decider.is_some()) else {
            return self.on_no_forwarder(client_event);
        };
        self.submissions_in_transit += 1;
        self.forwarders[chosen]
            .inbox
            .push(Incoming::Submission(client_event));
        self.schedule_iteration(chosen as u32);
    }

    pub(super) fn accept_submission(
        &mut self,
        forwarder_id: u32,
        mut client_event: ClientEvent,
        inputs: &mut Vec<Input>,
    ) {
        let forwarder = &self.forwarders[forwarder_id as usize];
        if forwarder.closing.is_some() {
            return self.on_no_forwarder(client_event);
        }
        self.introduce_destination(forwarder_id, client_event.destination, inputs);
        let known_changes = self.forwarders[forwarder_id as usize].known_changes;
        let targets = &self.destinations[client_event.destination as usize].targets;
        let named = targets.iter().any(|target| {
            self.targets[*target as usize].as_of(known_changes) != EndpointState::Removed
        });
        let full = self.forwarders[forwarder_id as usize].pending_events
            >= self.scenario.forwarders.event_capacity;
        if full || !named || client_event.deadline - self.now < MIN_TIME_TO_DEADLINE {
            client_event.cause = LossCause::NoRoom;
            self.tally.totals.dismissed += 1;
            return self.on_rejected(client_event, self.scenario.rules.max_retry_after);
        }
        self.taken += 1;
        let number = self.taken;
        let effect = self.effect(client_event.traffic);
        let of = &self.scenario.traffic[client_event.traffic as usize];
        let key = client_event.key.filter(|_| of.ordered);
        let origin = client_event.origin;
        let deadline = client_event.deadline;
        self.observe(Observation::Accepted {
            forwarder: forwarder_id,
            event: number,
            origin,
            idempotency: effect,
            key,
            deadline,
        });
        let destination = client_event.destination;
        let traffic = client_event.traffic as usize;
        client_event.cause = LossCause::Waited;
        let event = self.events.insert(Event {
            client_event,
            number,
            forwarder: forwarder_id,
            attempts: 0,
            sent_at: 0.0,
            may_have_run: None,
            out: None,
            ended: false,
            unacknowledged: None,
        });
        self.forwarders[forwarder_id as usize].pending_events += 1;
        self.tally.totals.taken += 1;
        self.tally.totals.most_held = self.tally.totals.most_held.max(self.events.len() as u64);
        inputs.push(Input::Accepted {
            event,
            destination,
            traffic,
            deadline,
            key,
            again: false,
        });
    }

    /// No forwarder took the event: the client submits again while there is time.
    pub(super) fn on_no_forwarder(&mut self, mut client_event: ClientEvent) {
        let again = exponential(
            &mut self.rng_resubmissions,
            self.scenario.clients.retry_pause,
        );
        client_event.cause = LossCause::NoForwarder;
        self.resubmit_later(client_event, again);
    }

    pub(super) fn resubmit_later(&mut self, client_event: ClientEvent, pause: Ms) {
        let at = self.now + pause;
        if at >= client_event.deadline {
            let cause = client_event.cause;
            return self.tally.record_loss(self.scenario, &client_event, cause);
        }
        self.submissions_in_transit += 1;
        self.queue.put(at, Step::Submit(Box::new(client_event)));
    }

    /// Handles a rejection at the client.
    pub(super) fn on_rejected(&mut self, mut client_event: ClientEvent, retry_after: Option<Ms>) {
        let of = &self.scenario.clients;
        let in_storm = self.retry_storm_factor > 0.0;
        let most = if in_storm {
            (of.max_resubmissions as f64 * self.retry_storm_factor).ceil() as u32
        } else {
            of.max_resubmissions
        };
        if client_event.resubmissions >= most {
            let cause = client_event.cause;
            return self.tally.record_loss(self.scenario, &client_event, cause);
        }
        client_event.resubmissions += 1;
        let pause = match retry_after {
            _ if in_storm => exponential(&mut self.rng_resubmissions, RETRY_STORM_PAUSE),
            Some(advice) => advice * between(&mut self.rng_resubmissions, 1.0, 1.25),
            None => exponential(&mut self.rng_resubmissions, of.resubmission_pause),
        };
        self.resubmit_later(client_event, pause);
    }

    pub(super) fn notify_client(
        &mut self,
        client_event: ClientEvent,
        dismissed: bool,
        retry_after: Option<Ms>,
    ) {
        if dismissed {
            self.on_rejected(client_event, retry_after);
        } else {
            self.tally
                .record_loss(self.scenario, &client_event, LossCause::MayHaveRun);
        }
    }

    pub(super) fn on_delivered(&mut self, forwarder_id: u32, key: EventKey) {
        let event = self.events.remove(key).expect("the event is pending");
        self.forwarders[forwarder_id as usize].pending_events -= 1;
        self.observe(Observation::Completed {
            forwarder: forwarder_id,
            event: event.number,
            completion: Completion::Completed,
            by_notification: false,
        });
        self.tally
            .delivered(self.scenario, &event.client_event, self.now);
    }

    pub(super) fn on_completed(
        &mut self,
        forwarder_id: u32,
        key: EventKey,
        dismissed: bool,
        retry_after: Option<Ms>,
        by_notification: bool,
    ) {
        let Some(event) = self.events.get_mut(key) else {
            return;
        };
        event.ended = true;
        let number = event.number;
        if dismissed {
            self.tally.totals.dismissed += 1;
        } else {
            self.tally.totals.written_off += 1;
        }
        let end = if dismissed {
            Completion::Rejected
        } else {
            Completion::Abandoned
        };
        self.observe(Observation::Completed {
            forwarder: forwarder_id,
            event: number,
            completion: end,
            by_notification,
        });
        if by_notification {
            self.events[key].unacknowledged = Some((dismissed, retry_after));
            let incarnation = self.forwarders[forwarder_id as usize].incarnation;
            return self.queue.put(
                self.now + self.scenario.forwarders.notification_delay,
                Step::CompletionAcknowledged(forwarder_id, incarnation, key),
            );
        }
        let event = self.events.remove(key).expect("seen");
        self.forwarders[forwarder_id as usize].pending_events -= 1;
        self.notify_client(event.client_event, dismissed, retry_after);
    }

    /// Delivers the notification of a completion: first the client handles it, then the forwarder
    /// receives the acknowledgement.
    pub(super) fn on_acknowledged(&mut self, forwarder_id: u32, incarnation: u32, key: EventKey) {
        if self.forwarders[forwarder_id as usize].incarnation != incarnation {
            return; // the next incarnation sends the notification again
        }
        let Some(event) = self.events.get_mut(key) else {
            return;
        };
        let Some((dismissed, retry_after)) = event.unacknowledged.take() else {
            return;
        };
        let client_event = event.client_event.clone();
        self.notify_client(client_event, dismissed, retry_after);
        self.incoming(
            forwarder_id,
            Input::CompletionAcknowledged { event: key },
            None,
        );
    }
}
