//! The process of one forwarder, which applies the log.

use std::collections::BTreeMap;

use plankhill_decisions::interface::Ms;
use plankhill_fanout::*;

use super::checker::Checker;
use super::forwarder::{EventLog, Forwarder};
use super::PlantedFault;

pub struct Process {
    pub forwarder: Forwarder,
    /// `None` while it is down.
    pub local_instance: Option<LocalInstance>,
    pub applied: usize,
    /// Suspended until then; only its calls go on.
    pub suspended_until: Ms,
    /// Cut off from the network until then.
    pub cut_off_until: Ms,
    /// Submissions whose clients wait for an answer.
    pub submissions: BTreeMap<u64, BroadcastId>,
    /// Down until then.
    pub down_until: Ms,
}

impl Process {
    pub fn start(&mut self, now: Ms, log: &[Command], from: usize) {
        let mut state = FanoutState::default();
        log[..from]
            .iter()
            .for_each(|command| drop(state.apply(command.clone())));
        let state = FanoutState::from_bytes(&state.to_bytes()).expect("a snapshot can be read");
        self.forwarder.restart(now);
        let process = (now * 1000.0) as u64 + 1;
        let local_instance = LocalInstance::new(InstanceId(self.forwarder.id), process, state);
        self.submissions.clear();
        (self.local_instance, self.applied) = (Some(local_instance), from);
    }

    pub fn apply_log(
        &mut self,
        now: Ms,
        log: &[Command],
        max_commands: usize,
        checker: &mut Checker,
    ) {
        let local = self.forwarder.local(now);
        let mut requests = Vec::new();
        for command in log.iter().take(max_commands) {
            let Some(local_instance) = self.local_instance.as_mut() else {
                return;
            };
            requests.extend(local_instance.apply_command(
                local,
                &EventLog(&self.forwarder),
                command.clone(),
            ));
            self.applied += 1;
        }
        self.carry_out(now, requests, checker);
    }

    fn carry_out(&mut self, now: Ms, requests: Vec<HostRequest>, checker: &mut Checker) {
        for request in requests {
            let Some(local_instance) = self.local_instance.as_ref() else {
                return;
            };
            let copy = match &request {
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
                    let accepted = matches!(request, HostRequest::Accepted(_));
                    let submission = self.submissions.remove(number);
                    submission
                        .into_iter()
                        .for_each(|id| checker.answered(&id, accepted));
                    continue;
                }
                HostRequest::BroadcastCompleted(..) => continue,
            };
            if local_instance.has_copy(copy) {
                let binding = local_instance
                    .broadcast(copy.1)
                    .is_some_and(|b| b.traffic == "binding");
                self.forwarder.execute(now, request, binding, checker);
            }
        }
    }

    /// Carries out a planted fault before the log permits it, and returns the commands that it proposes.
    pub fn planted_commands(
        &mut self,
        now: Ms,
        planted_fault: PlantedFault,
        proposed: &[Command],
        checker: &mut Checker,
    ) -> Vec<Command> {
        let by = InstanceId(self.forwarder.id);
        let Some(local_instance) = self.local_instance.as_ref() else {
            return Vec::new();
        };
        let mut state = local_instance.state().clone();
        match planted_fault {
            PlantedFault::SubmitsBeforeCommit => {
                for command in proposed
                    .iter()
                    .filter(|c| matches!(c, Command::Spread { .. }))
                {
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
                        let Some(b) = local_instance.broadcast(position) else {
                            continue;
                        };
                        let (event, patience_ends) =
                            (copy_id(&b.id, subscriber), b.at + b.patience);
                        let binding = b.traffic == "binding";
                        let request = HostRequest::Submit {
                            event,
                            subscriber,
                            position,
                            deadline: patience_ends,
                        };
                        self.forwarder.execute(now, request, binding, checker);
                    }
                }
                Vec::new()
            }
            PlantedFault::EndsTooEarly => {
                let assigned = state
                    .assigned_copies(by)
                    .into_iter()
                    .filter(|(s, _, end)| end.is_none() && state.server(*s) != Some(by));
                let (outcome, waited, own) = (Outcome::Abandoned, 0.0, 0.0);
                let ends = assigned.map(|(subscriber, position, _)| CopyEnd {
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
