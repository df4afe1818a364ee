//! The response to a call, and everything else that ends the forwarder's side of the call.

use plankhill_decisions::interface::{AttemptOutcome, Ms};
use plankhill_forwarder_config::scenario::FaultKind;
use plankhill_invariants::Observation;

use super::state::Member;
use super::{CallKey, Step, World};
use crate::deciders::Input;
use crate::random::uniform;

impl World<'_> {
    /// The target answers now: the answer travels back, unless a fault loses it.
    pub(super) fn respond(&mut self, key: CallKey, outcome: AttemptOutcome, wait: Ms) {
        let call = &mut self.calls[key];
        (call.outcome, call.wait) = (outcome, wait);
        let forwarder = call.forwarder;
        let target = call.target;
        let from = self.targets[target as usize].zone as usize;
        let to = self.forwarders[forwarder as usize].zone;
        if self.loses_answers(forwarder, self.targets[target as usize].destination, target) {
            return;
        }
        if let Some(travel) = self.travel(from, to) {
            self.queue.put(self.now + travel, Step::Answered(key));
        }
    }

    /// Whether answers of the target to the forwarder are lost now.
    pub(super) fn loses_answers(&self, forwarder: u32, destination: u32, target: u32) -> bool {
        let Some(active) = self.active.get(&destination) else {
            return false;
        };
        active.iter().any(|&at| {
            let fault = &self.scenario.faults[at as usize];
            let affected = (fault.strength * self.forwarders.len() as f64).ceil();
            fault.kind == FaultKind::CutOneWay
                && (forwarder as f64) < affected
                && self.covers(at, target)
        })
    }

    pub(super) fn on_answer(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        if call.abandoned_by_sender {
            if !call.is_at_target {
                self.calls.remove(key);
            }
            return;
        }
        let outcome = call.outcome;
        let wait = call.wait;
        self.call_over(key, outcome, wait);
    }

    pub(super) fn time_out(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key).filter(|call| !call.abandoned_by_sender) else {
            return;
        };
        let outcome = if call.written {
            AttemptOutcome::TimedOut
        } else {
            AttemptOutcome::ConnectFailed
        };
        self.call_over(key, outcome, 0.0);
    }

    /// Reports the call's outcome to the forwarder, which handles it in its next iteration.
    pub(super) fn call_over(&mut self, key: CallKey, outcome: AttemptOutcome, wait: Ms) {
        let call = &mut self.calls[key];
        call.abandoned_by_sender = true;
        let forwarder = call.forwarder;
        let target = call.target;
        let lane = call.lane;
        let is_health_check = call.is_health_check;
        let began = call.began;
        let in_outage = call.in_outage;
        let written = call.written;
        let at_target = call.is_at_target;
        let members = call.members.clone();
        let destination = self.targets[target as usize].destination;
        let good = outcome == AttemptOutcome::Delivered;
        if !good && outcome != AttemptOutcome::NotSent {
            self.tally
                .call_failed(destination, self.now, outcome == AttemptOutcome::Rejected);
        }
        if !good && in_outage {
            self.observe(Observation::FailureObserved { forwarder, lane });
        }
        if written && self.tracked(destination) {
            let kept = matches!(
                outcome,
                AttemptOutcome::Delivered | AttemptOutcome::Rejected | AttemptOutcome::Error
            );
            self.put_back(forwarder, target, kept);
        }
        let elapsed = self.now - began;
        for Member { event, .. } in members {
            self.incoming(
                forwarder,
                Input::AttemptEnded {
                    event,
                    outcome,
                    elapsed,
                    wait,
                },
                Some((lane, written)),
            );
        }
        if is_health_check {
            self.incoming(
                forwarder,
                Input::HealthCheckEnded { target, outcome },
                Some((lane, written)),
            );
        }
        // A connection that is still being set up is returned once it is established.
        let is_connecting =
            !written && outcome != AttemptOutcome::ConnectFailed && self.tracked(destination);
        if !at_target && !is_connecting {
            self.calls.remove(key);
        }
    }

    /// Resets all calls at targets of the destination that are down now; half of those in service
    /// have run.
    pub(super) fn reset_calls(&mut self, destination: u32) {
        let targets: Vec<u32> = self.destinations[destination as usize].targets.clone();
        let down: Vec<u32> = targets
            .into_iter()
            .filter(|target| self.fault_effects(*target).down)
            .collect();
        if down
            .iter()
            .all(|target| self.targets[*target as usize].busy == 0)
        {
            return;
        }
        let at_target = self
            .calls
            .iter()
            .filter(|(_, call)| call.is_at_target && down.contains(&call.target));
        let at_target: Vec<CallKey> = at_target.map(|(key, _)| key).collect();
        for target in &down {
            let target_state = &mut self.targets[*target as usize];
            target_state.busy = 0;
            target_state.waiting.clear();
        }
        for key in at_target {
            let ran = self.calls[key].served && uniform(&mut self.rng_faults) < 0.5;
            if ran {
                self.apply(key);
            }
            let call = &mut self.calls[key];
            call.is_at_target = false;
            let gauge = &mut self.lanes[call.lane as usize].gauge;
            gauge.inside = gauge.inside.saturating_sub(1);
            if call.abandoned_by_sender {
                self.calls.remove(key);
            } else {
                self.respond(key, AttemptOutcome::Reset, 0.0);
            }
        }
    }

    /// Cancels the calls to a target of which nothing is written yet.
    pub(super) fn cancel_unsent(&mut self, forwarder: u32, target: u32) {
        let incarnation = self.forwarders[forwarder as usize].incarnation;
        let unwritten = self.calls.iter().filter(|(_, call)| {
            let ours = call.forwarder == forwarder
                && call.incarnation == incarnation
                && call.target == target;
            ours && !call.written
                && !call.abandoned_by_sender
                && call.outcome != AttemptOutcome::ConnectFailed
        });
        let unwritten: Vec<CallKey> = unwritten.map(|(key, _)| key).collect();
        for key in unwritten {
            self.call_over(key, AttemptOutcome::NotSent, 0.0);
        }
    }
}
