//! Event loop iterations of a forwarder: pass the inputs since the last iteration to the decider and
//! carry out its decisions.

use plankhill_decisions::interface::{AttemptOutcome, Ms};
use plankhill_invariants::{AttemptEnd, Observation};

use super::processes::MIN_SHUTDOWN_DURATION;
use super::state::Incoming;
use super::{Step, World};
use crate::deciders::{Decision, EventKey, Input};
use crate::outcome::LossCause;

impl World<'_> {
    pub(super) fn incoming(&mut self, forwarder_id: u32, input: Input, about: Option<(u32, bool)>) {
        self.forwarders[forwarder_id as usize]
            .inbox
            .push(Incoming::Input(input, about));
        self.schedule_iteration(forwarder_id);
    }

    pub(super) fn schedule_iteration(&mut self, forwarder_id: u32) {
        let forwarder = &mut self.forwarders[forwarder_id as usize];
        if forwarder.iteration_scheduled || forwarder.decider.is_none() {
            return;
        }
        forwarder.iteration_scheduled = true;
        let from = self
            .now
            .max(forwarder.last_iteration + self.scenario.forwarders.min_iteration_interval)
            .max(forwarder.stalled_until);
        self.queue.put(from, Step::Iteration(forwarder_id));
    }

    pub(super) fn wake_up(&mut self, forwarder_id: u32, incarnation: u32) {
        let forwarder = &mut self.forwarders[forwarder_id as usize];
        if forwarder.incarnation != incarnation {
            return;
        }
        if forwarder.next_wake_up <= self.now {
            forwarder.next_wake_up = f64::INFINITY;
        }
        self.schedule_iteration(forwarder_id);
    }

    pub(super) fn run_iteration(&mut self, forwarder_id: u32) {
        let forwarder = &mut self.forwarders[forwarder_id as usize];
        forwarder.iteration_scheduled = false;
        if forwarder.decider.is_none() {
            return;
        }
        if forwarder.stalled_until > self.now {
            return self.schedule_iteration(forwarder_id);
        }
        forwarder.last_iteration = self.now;
        let inbox = std::mem::take(&mut forwarder.inbox);
        let mut inputs = Vec::with_capacity(inbox.len());
        for incoming in inbox {
            match incoming {
                Incoming::Submission(client_event) => {
                    self.submissions_in_transit -= 1;
                    self.accept_submission(forwarder_id, client_event, &mut inputs)
                }
                Incoming::Input(input, about) => {
                    self.receive(forwarder_id, input, about, &mut inputs)
                }
            }
        }
        self.decide(forwarder_id, inputs);
    }

    pub(super) fn decide(&mut self, forwarder_id: u32, inputs: Vec<Input>) {
        self.tally.totals.rounds += 1;
        let mut decisions = Vec::new();
        let mut decider = self.forwarders[forwarder_id as usize]
            .decider
            .take()
            .expect("it runs");
        decider.iterate(self.now, &inputs, &mut decisions);
        self.forwarders[forwarder_id as usize].decider = Some(decider);
        let mut next = 0;
        while next < decisions.len() {
            next += self.carry_out(forwarder_id, &decisions[next..]);
        }
        let forwarder = &self.forwarders[forwarder_id as usize];
        if forwarder.closing.is_some_and(|(since, _)| {
            forwarder.pending_events == 0 && self.now >= since + MIN_SHUTDOWN_DURATION
        }) {
            self.end_process(forwarder_id, self.scenario.forwarders.restart_delay, true);
        }
    }

    /// Carries out the first decision and the following ones that share its call. Returns the number
    /// of decisions carried out.
    pub(super) fn carry_out(&mut self, forwarder_id: u32, decisions: &[Decision]) -> usize {
        match decisions[0] {
            Decision::SendAttempt { target, .. } => {
                return self.send(forwarder_id, target, decisions)
            }
            Decision::HealthCheck { target } => {
                let time_out = self.scenario.network.connect_time_out;
                self.begin_call(forwarder_id, target, Vec::new(), time_out)
            }
            Decision::Complete {
                event,
                dismissed,
                retry_after,
                by_notification,
            } => self.on_completed(forwarder_id, event, dismissed, retry_after, by_notification),
            Decision::CloseIdleConnections { target } => self.close_idle(forwarder_id, target),
            Decision::CancelUnsent { target } => self.cancel_unsent(forwarder_id, target),
            Decision::RecordWarmUp {
                target,
                since,
                usual,
            } => {
                self.forwarders[forwarder_id as usize]
                    .cold
                    .insert(target, (since, usual));
            }
            Decision::WakeUp { pause } => {
                let forwarder = &mut self.forwarders[forwarder_id as usize];
                // The clock has a resolution of a microsecond, so that a wake-up is at least that far
                // in the future.
                let wake_up = (self.now + pause).max(self.now + 0.001);
                if wake_up < forwarder.next_wake_up {
                    forwarder.next_wake_up = wake_up;
                    let incarnation = forwarder.incarnation;
                    self.queue
                        .put(wake_up, Step::WakeUp(forwarder_id, incarnation));
                }
            }
        }
        1
    }

    pub(super) fn send(&mut self, forwarder_id: u32, to: u32, decisions: &[Decision]) -> usize {
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
                    timeout,
                } if target == to => {
                    events.push(event);
                    given = given.min(timeout);
                }
                _ => break,
            }
        }
        let attempts = events.len();
        self.begin_call(forwarder_id, to, events, given);
        attempts
    }

    pub(super) fn receive(
        &mut self,
        forwarder_id: u32,
        input: Input,
        about: Option<(u32, bool)>,
        inputs: &mut Vec<Input>,
    ) {
        match input {
            Input::AttemptEnded {
                event,
                outcome,
                wait,
                ..
            } => {
                let (lane, written) = about.expect("an answer is about a lane");
                if self.events.get(event).is_none_or(|event| event.ended) {
                    return;
                }
                self.on_attempt_ended(forwarder_id, event, outcome, wait, lane, written);
                inputs.push(input);
                if outcome == AttemptOutcome::Delivered {
                    self.on_delivered(forwarder_id, event);
                }
            }
            Input::EndpointListed {
                target, listing, ..
            } => self.list_one(forwarder_id, target, listing, inputs),
            Input::CompletionAcknowledged { event } => {
                let Some(pending) = self.events.remove(event) else {
                    return;
                };
                self.forwarders[forwarder_id as usize].pending_events -= 1;
                self.observe(Observation::CompletionAcknowledged {
                    event: pending.number,
                });
                inputs.push(input);
            }
            other => inputs.push(other),
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        forwarder_id: u32,
        key: EventKey,
        outcome: AttemptOutcome,
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
            if outcome.may_have_run() {
                event
                    .may_have_run
                    .get_or_insert((event.sent_at, zone.unwrap_or(0)));
            }
        }
        event.client_event.cause = match outcome {
            AttemptOutcome::Rejected => LossCause::Refused,
            AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => LossCause::Unconnected,
            AttemptOutcome::TimedOut => LossCause::Unanswered,
            _ => LossCause::Failed,
        };
        let cut = match outcome {
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
                forwarder: forwarder_id,
                event: number,
                outcome: cut,
            });
        }
        if wait > 0.0 {
            self.observe(Observation::RetryAfterReceived {
                forwarder: forwarder_id,
                lane,
                until: self.now + wait,
            });
        }
    }
}
