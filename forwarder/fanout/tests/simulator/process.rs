//! One forwarder's process on the log.

use std::collections::BTreeMap;

use plankhill_decisions::interface::Ms;
use plankhill_fanout::*;

use super::checker::Checker;
use super::forwarder::{Forwarder, Ledger};
use super::PlantedFault;

pub struct Process {
    pub forwarder: Forwarder,
    /// None while it is down.
    pub station: Option<LocalInstance>,
    pub applied: usize,
    /// It does nothing until then; only its calls go on.
    pub stalled: Ms,
    /// Nothing goes to it or comes from it until then.
    pub cut: Ms,
    /// What its clients wait for.
    pub attempts: BTreeMap<u64, BroadcastId>,
    /// Down until then.
    pub down: Ms,
}

impl Process {
    pub fn starts(&mut self, now: Ms, log: &[Command], from: usize) {
        let mut state = FanoutState::default();
        log[..from]
            .iter()
            .for_each(|command| drop(state.apply(command.clone())));
        let state = FanoutState::from_bytes(&state.to_bytes()).expect("a snapshot can be read");
        self.forwarder.restart(now);
        let process = (now * 1000.0) as u64 + 1;
        let station = LocalInstance::new(InstanceId(self.forwarder.id), process, state);
        self.attempts.clear();
        (self.station, self.applied) = (Some(station), from);
    }

    pub fn hears(&mut self, now: Ms, log: &[Command], most: usize, checker: &mut Checker) {
        let local = self.forwarder.local(now);
        let mut all = Vec::new();
        for command in log.iter().take(most) {
            let Some(station) = self.station.as_mut() else {
                return;
            };
            all.extend(station.applied(local, &Ledger(&self.forwarder), command.clone()));
            self.applied += 1;
        }
        self.carry_out(now, all, checker);
    }

    fn carry_out(&mut self, now: Ms, orders: Vec<HostRequest>, checker: &mut Checker) {
        for order in orders {
            let Some(station) = self.station.as_ref() else {
                return;
            };
            let copy = match &order {
                HostRequest::Submit {
                    subscriber,
                    position,
                    ..
                } => (*subscriber, *position),
                HostRequest::NotifyOutcome {
                    subscriber,
                    position,
                    ..
                } => (*subscriber, *position),
                HostRequest::Accepted(number) | HostRequest::Rejected(number, _) => {
                    let took = matches!(order, HostRequest::Accepted(_));
                    let answered = self.attempts.remove(number);
                    answered
                        .into_iter()
                        .for_each(|id| checker.answered(&id, took));
                    continue;
                }
                HostRequest::BroadcastCompleted(..) => continue,
            };
            if station.holds(copy) {
                let binding = station
                    .fields(copy.1)
                    .is_some_and(|b| b.traffic == "binding");
                self.forwarder.carries_out(now, order, binding, checker);
            }
        }
    }

    /// Planted: what it does before the log says so.
    pub fn early(
        &mut self,
        now: Ms,
        planted_fault: PlantedFault,
        asked: &[Command],
        checker: &mut Checker,
    ) -> Vec<Command> {
        let by = InstanceId(self.forwarder.id);
        let Some(station) = self.station.as_ref() else {
            return Vec::new();
        };
        let mut state = station.state().clone();
        match planted_fault {
            PlantedFault::HandsBeforeCommit => {
                for command in asked.iter().filter(|c| matches!(c, Command::Spread { .. })) {
                    for effect in state.apply(command.clone()) {
                        let Effect::Assigned {
                            subscriber,
                            position,
                            end: None,
                            ..
                        } = effect
                        else {
                            continue;
                        };
                        let Some(b) = station.fields(position) else {
                            continue;
                        };
                        let (event, patience_ends) =
                            (copy_id(&b.id, subscriber), b.at + b.patience);
                        let binding = b.traffic == "binding";
                        let order = HostRequest::Submit {
                            event,
                            subscriber,
                            position,
                            deadline: patience_ends,
                        };
                        self.forwarder.carries_out(now, order, binding, checker);
                    }
                }
                Vec::new()
            }
            PlantedFault::EndsTooEarly => {
                let held = state
                    .assigned_copies(by)
                    .into_iter()
                    .filter(|(s, _, end)| end.is_none() && state.server(*s) != Some(by));
                let (outcome, waited, own) = (Outcome::Abandoned, 0.0, 0.0);
                let ends = held.map(|(subscriber, position, _)| CopyEnd {
                    subscriber,
                    position,
                    outcome,
                    waited,
                    own,
                });
                let ends: Vec<CopyEnd> = ends.collect();
                if ends.is_empty() {
                    Vec::new()
                } else {
                    vec![Command::Ended {
                        by,
                        process: state.process(by),
                        ends,
                    }]
                }
            }
            _ => Vec::new(),
        }
    }
}
