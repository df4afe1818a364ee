//! Rounds of a forwarder: what came in between them is handed over, and decisions are carried out.

use plankhill_decisions::interface::{AttemptOutcome, Ms};
use plankhill_invariants::{AttemptEnd, Observation};

use super::processes::CLOSING_LEAST;
use super::state::Incoming;
use super::{Step, World};
use crate::deciders::{Decision, EventKey, Input};
use crate::outcome::LossCause;

impl World<'_> {
    pub(super) fn incoming(&mut self, at: u32, input: Input, about: Option<(u32, bool)>) {
        self.forwarders[at as usize]
            .inbox
            .push(Incoming::Input(input, about));
        self.schedule_iteration(at);
    }

    pub(super) fn schedule_iteration(&mut self, at: u32) {
        let it = &mut self.forwarders[at as usize];
        if it.iteration_scheduled || it.decider.is_none() {
            return;
        }
        it.iteration_scheduled = true;
        let from = self
            .now
            .max(it.last_iteration + self.scenario.forwarders.round)
            .max(it.stalled_until);
        self.queue.put(from, Step::Iteration(at));
    }

    pub(super) fn wake_up(&mut self, at: u32, incarnation: u32) {
        let it = &mut self.forwarders[at as usize];
        if it.incarnation != incarnation {
            return;
        }
        if it.next_wake_up <= self.now {
            it.next_wake_up = f64::INFINITY;
        }
        self.schedule_iteration(at);
    }

    pub(super) fn run_iteration(&mut self, at: u32) {
        let it = &mut self.forwarders[at as usize];
        it.iteration_scheduled = false;
        if it.decider.is_none() {
            return;
        }
        if it.stalled_until > self.now {
            return self.schedule_iteration(at);
        }
        it.last_iteration = self.now;
        let inbox = std::mem::take(&mut it.inbox);
        let mut inputs = Vec::with_capacity(inbox.len());
        for incoming in inbox {
            match incoming {
                Incoming::HandIn(client_event) => {
                    self.coming -= 1;
                    self.accept_submission(at, client_event, &mut inputs)
                }
                Incoming::Input(input, about) => self.receive(at, input, about, &mut inputs),
            }
        }
        self.decide(at, inputs);
    }

    pub(super) fn decide(&mut self, at: u32, inputs: Vec<Input>) {
        self.tally.totals.rounds += 1;
        let mut decisions = Vec::new();
        let mut decider = self.forwarders[at as usize]
            .decider
            .take()
            .expect("it runs");
        decider.round(self.now, &inputs, &mut decisions);
        self.forwarders[at as usize].decider = Some(decider);
        let mut next = 0;
        while next < decisions.len() {
            next += self.carry_out(at, &decisions[next..]);
        }
        let it = &self.forwarders[at as usize];
        if it
            .closing
            .is_some_and(|(since, _)| it.held == 0 && self.now >= since + CLOSING_LEAST)
        {
            self.end_process(at, self.scenario.forwarders.restart, true);
        }
    }

    /// Carries out the first decision, and those behind it that share its call: how many that were.
    pub(super) fn carry_out(&mut self, at: u32, decisions: &[Decision]) -> usize {
        match decisions[0] {
            Decision::SendAttempt { target, .. } => return self.send(at, target, decisions),
            Decision::HealthCheck { target } => {
                let time_out = self.scenario.network.connect_time_out;
                self.begin_call(at, target, Vec::new(), time_out)
            }
            Decision::Complete {
                event,
                dismissed,
                retry_after,
                by_notification,
            } => self.on_completed(at, event, dismissed, retry_after, by_notification),
            Decision::CloseIdleConnections { target } => self.close_idle(at, target),
            Decision::CancelUnsent { target } => self.cancel_unsent(at, target),
            Decision::RecordWarmUp {
                target,
                since,
                usual,
            } => {
                self.forwarders[at as usize]
                    .cold
                    .insert(target, (since, usual));
            }
            Decision::WakeUp { pause } => {
                let it = &mut self.forwarders[at as usize];
                // A clock that has no finer step: a wake-up is never for the present instant.
                let wake_up = (self.now + pause).max(self.now + 0.001);
                if wake_up < it.next_wake_up {
                    it.next_wake_up = wake_up;
                    let incarnation = it.incarnation;
                    self.queue.put(wake_up, Step::WakeUp(at, incarnation));
                }
            }
        }
        1
    }

    pub(super) fn send(&mut self, at: u32, to: u32, decisions: &[Decision]) -> usize {
        let most = self
            .group_of(self.targets[to as usize].destination)
            .events_per_call;
        let mut given = f64::INFINITY;
        let mut events = Vec::with_capacity(1);
        for decision in decisions.iter().take(most) {
            match *decision {
                Decision::SendAttempt {
                    event,
                    target,
                    time_out,
                } if target == to => {
                    events.push(event);
                    given = given.min(time_out);
                }
                _ => break,
            }
        }
        let sends = events.len();
        self.begin_call(at, to, events, given);
        sends
    }

    pub(super) fn receive(
        &mut self,
        at: u32,
        input: Input,
        about: Option<(u32, bool)>,
        inputs: &mut Vec<Input>,
    ) {
        match input {
            Input::AttemptEnded {
                event, fate, wait, ..
            } => {
                let (lane, written) = about.expect("an answer is about a lane");
                if self.events.get(event).is_none_or(|event| event.ended) {
                    return;
                }
                self.on_attempt_ended(at, event, fate, wait, lane, written);
                inputs.push(input);
                if fate == AttemptOutcome::Delivered {
                    self.on_delivered(at, event);
                }
            }
            Input::EndpointListed {
                target, listing, ..
            } => self.list_one(at, target, listing, inputs),
            Input::CompletionAcknowledged { event } => {
                let Some(held) = self.events.remove(event) else {
                    return;
                };
                self.forwarders[at as usize].held -= 1;
                self.observe(Observation::CompletionAcknowledged { event: held.number });
                inputs.push(input);
            }
            other => inputs.push(other),
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        at: u32,
        key: EventKey,
        fate: AttemptOutcome,
        wait: Ms,
        lane: u32,
        written: bool,
    ) {
        let event = &mut self.events[key];
        let number = event.number;
        if let Some(call) = event.out.take() {
            let zone = self
                .calls
                .get(call)
                .map(|call| self.targets[call.target as usize].zone as usize);
            if fate.may_have_run() {
                event
                    .may_have_run
                    .get_or_insert((event.sent_at, zone.unwrap_or(0)));
            }
        }
        event.client_event.cause = match fate {
            AttemptOutcome::Rejected => LossCause::Refused,
            AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => LossCause::Unconnected,
            AttemptOutcome::TimedOut => LossCause::Unanswered,
            _ => LossCause::Failed,
        };
        let cut = match fate {
            AttemptOutcome::Delivered => AttemptEnd::Delivered,
            AttemptOutcome::Error => AttemptEnd::Error,
            AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled => {
                AttemptEnd::CutShort
            }
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => {
                AttemptEnd::NotExecuted
            }
        };
        if written {
            self.observe(Observation::AttemptEnded {
                forwarder: at,
                event: number,
                outcome: cut,
            });
        }
        if wait > 0.0 {
            self.observe(Observation::RetryAfterReceived {
                forwarder: at,
                lane,
                until: self.now + wait,
            });
        }
    }
}
