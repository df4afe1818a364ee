//! Clients: handing in, hearing of ends, and coming again.

use plankhill_decisions::interface::{EndpointState, Ms};
use plankhill_invariants::{Completion, Observation};

use super::parts::{Event, Incoming};
use super::{Step, World};
use crate::clients::Ticket;
use crate::deciders::{EventKey, Input};
use crate::outcome::LossCause;
use crate::random::{between, exponential, uniform};

/// What is left of an event's patience at the door, at the least.
const LEAST_PATIENCE: Ms = 100.0;
/// In a storm of retries clients wait for this on the mean.
const STORM_PAUSE: Ms = 50.0;

impl World<'_> {
    /// The layer before the forwarders passes an event on: those of one key to one forwarder while it is
    /// there, as far as that layer knows.
    pub(super) fn hand_in(&mut self, ticket: Ticket) {
        self.tally.totals.handed_in += 1;
        let count = self.forwarders.len();
        let first = match ticket.key {
            Some(key) => (key.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) as usize % count,
            None => (uniform(&mut self.chance_returns) * count as f64) as usize,
        };
        let lag = self.scenario.forwarders.front_lag;
        let believed = |at: &usize| {
            let it = &self.forwarders[*at];
            it.closing.is_none() && it.died_at.is_none_or(|died| self.now < died + lag)
        };
        let chosen = (0..count).map(|step| (first + step) % count).find(believed);
        let Some(chosen) = chosen.filter(|at| self.forwarders[*at].decider.is_some()) else {
            return self.not_handed_in(ticket);
        };
        self.coming += 1;
        self.forwarders[chosen].inbox.push(Incoming::HandIn(ticket));
        self.call_round(chosen as u32);
    }

    pub(super) fn at_the_door(&mut self, at: u32, mut ticket: Ticket, inputs: &mut Vec<Input>) {
        let it = &self.forwarders[at as usize];
        if it.closing.is_some() {
            return self.not_handed_in(ticket);
        }
        self.introduce(at, ticket.destination, inputs);
        let heard = self.forwarders[at as usize].heard;
        let targets = &self.destinations[ticket.destination as usize].targets;
        let named = targets
            .iter()
            .any(|target| self.targets[*target as usize].as_of(heard) != EndpointState::Removed);
        let full = self.forwarders[at as usize].held >= self.scenario.forwarders.room;
        if full || !named || ticket.patience_ends - self.now < LEAST_PATIENCE {
            ticket.cause = LossCause::NoRoom;
            self.tally.totals.dismissed += 1;
            return self.dismissed(ticket, self.scenario.rules.longest_advice);
        }
        self.taken += 1;
        let number = self.taken;
        let effect = self.effect(ticket.traffic);
        let of = &self.scenario.traffic[ticket.traffic as usize];
        let key = ticket.key.filter(|_| of.ordered);
        let (origin, patience_ends) = (ticket.origin, ticket.patience_ends);
        self.tell(Observation::Accepted {
            forwarder: at,
            event: number,
            origin,
            idempotency: effect,
            key,
            deadline: patience_ends,
        });
        let (destination, traffic) = (ticket.destination, ticket.traffic as usize);
        ticket.cause = LossCause::Waited;
        let event = self.events.insert(Event {
            ticket,
            number,
            forwarder: at,
            sends: 0,
            sent_at: 0.0,
            may_have_run: None,
            out: None,
            ended: false,
            unheard: None,
        });
        self.forwarders[at as usize].held += 1;
        self.tally.totals.taken += 1;
        self.tally.totals.most_held = self.tally.totals.most_held.max(self.events.len() as u64);
        inputs.push(Input::Taken {
            event,
            destination,
            traffic,
            patience_ends,
            key,
            again: false,
        });
    }

    /// Nobody took the event: the client tries again while that can matter.
    pub(super) fn not_handed_in(&mut self, mut ticket: Ticket) {
        let again = exponential(&mut self.chance_returns, self.scenario.clients.again_after);
        ticket.cause = LossCause::NoForwarder;
        self.comes_again(ticket, again);
    }

    pub(super) fn comes_again(&mut self, ticket: Ticket, pause: Ms) {
        let at = self.now + pause;
        if at >= ticket.patience_ends {
            let cause = ticket.cause;
            return self.tally.unpaid(self.scenario, &ticket, cause);
        }
        self.coming += 1;
        self.queue.put(at, Step::HandIn(Box::new(ticket)));
    }

    /// The client hears of a dismissal.
    pub(super) fn dismissed(&mut self, mut ticket: Ticket, come_back_after: Option<Ms>) {
        let of = &self.scenario.clients;
        let storms = self.storm > 0.0;
        let most = if storms {
            (of.returns as f64 * self.storm).ceil() as u32
        } else {
            of.returns
        };
        if ticket.returns >= most {
            let cause = ticket.cause;
            return self.tally.unpaid(self.scenario, &ticket, cause);
        }
        ticket.returns += 1;
        let pause = match come_back_after {
            _ if storms => exponential(&mut self.chance_returns, STORM_PAUSE),
            Some(advice) => advice * between(&mut self.chance_returns, 1.0, 1.25),
            None => exponential(&mut self.chance_returns, of.pause),
        };
        self.comes_again(ticket, pause);
    }

    pub(super) fn client_hears(
        &mut self,
        ticket: Ticket,
        dismissed: bool,
        come_back_after: Option<Ms>,
    ) {
        if dismissed {
            self.dismissed(ticket, come_back_after);
        } else {
            self.tally
                .unpaid(self.scenario, &ticket, LossCause::MayHaveRun);
        }
    }

    pub(super) fn delivered(&mut self, at: u32, key: EventKey) {
        let event = self.events.remove(key).expect("held");
        self.forwarders[at as usize].held -= 1;
        self.tell(Observation::Completed {
            forwarder: at,
            event: event.number,
            completion: Completion::Completed,
            by_notification: false,
        });
        self.tally.delivered(self.scenario, &event.ticket, self.now);
    }

    pub(super) fn ended(
        &mut self,
        at: u32,
        key: EventKey,
        dismissed: bool,
        come_back_after: Option<Ms>,
        by_notice: bool,
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
        self.tell(Observation::Completed {
            forwarder: at,
            event: number,
            completion: end,
            by_notification: by_notice,
        });
        if by_notice {
            self.events[key].unheard = Some((dismissed, come_back_after));
            let life = self.forwarders[at as usize].life;
            return self.queue.put(
                self.now + self.scenario.forwarders.notice,
                Step::Heard(at, life, key),
            );
        }
        let event = self.events.remove(key).expect("seen");
        self.forwarders[at as usize].held -= 1;
        self.client_hears(event.ticket, dismissed, come_back_after);
    }

    /// The notice of an end is heard: by the client first, then, as an answer, by the forwarder.
    pub(super) fn heard(&mut self, at: u32, life: u32, key: EventKey) {
        if self.forwarders[at as usize].life != life {
            return; // the next life tells it again
        }
        let Some(event) = self.events.get_mut(key) else {
            return;
        };
        let Some((dismissed, come_back_after)) = event.unheard.take() else {
            return;
        };
        let ticket = event.ticket.clone();
        self.client_hears(ticket, dismissed, come_back_after);
        self.incoming(at, Input::Heard { event: key }, None);
    }
}
