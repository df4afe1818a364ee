//! Handling of events of the Raft groups that replicate event logs: start and end of leadership,
//! committed and discarded proposals. A process that becomes the leader of a group adopts the
//! group's events: they are pending in the process from then on. [`plan_adoption`] decides on each
//! of them.

use plankhill_decisions::interface::{EventId, TargetId};
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{EventTable, PendingEvent};
use plankhill_raft_groups::{GroupEvent, GroupId, Term};
use plankhill_replication::{
    plan_adoption, state_machine, AdoptionAction, LeaderRole, LocalKnowledge,
};
use slog::{error, info};

use super::SchedulerHost;
use crate::event_loop::durable_log::DurableLog;
use crate::event_loop::replicated_log::ReplicatedLog;
use crate::messages::{CompletionNotice, Input};

/// Whether the input may change which groups this process leads or which instances it reaches.
pub(in crate::event_loop) fn changes_leadership(input: &Input) -> bool {
    match input {
        Input::GroupEvent(event) => matches!(
            event,
            GroupEvent::Elected { .. }
                | GroupEvent::Deposed { .. }
                | GroupEvent::Discarded { .. }
                | GroupEvent::PeerChanged { .. }
        ),
        _ => false,
    }
}

/// Name of a group in log lines.
pub(super) fn group_name(group: GroupId) -> String {
    format!("{:016x}/{}", group.founder.0, group.number)
}

impl SchedulerHost {
    pub(super) fn apply_group_event(&mut self, scheduler: &mut Scheduler, event: GroupEvent) {
        match event {
            GroupEvent::Elected {
                group, term, state, ..
            } => {
                self.lead_group(scheduler, group, term, &state);
            }
            GroupEvent::Deposed { group } => self.lose_group(scheduler, group),
            GroupEvent::Committed { group, number } => {
                if let Some(log) = self.replicated_log() {
                    if let Err(error) = log.on_committed((group, number)) {
                        error!(self.context.log, "replicated event log file cannot be cleared";
                            "error" => %error);
                    }
                }
            }
            GroupEvent::Discarded { group, number } => {
                // The proposal was made to a group that is lost, whether its deposition has been
                // reported yet or not.
                self.lose_group(scheduler, group);
                if let Some(log) = self.replicated_log() {
                    log.on_discarded((group, number));
                }
            }
            GroupEvent::PeerChanged {
                incarnation,
                reachable,
                ..
            } => {
                if let Some(log) = self.replicated_log() {
                    log.set_peer_reachable(incarnation, reachable);
                }
            }
            GroupEvent::Applied { .. }
            | GroupEvent::SnapshotInstalled { .. }
            | GroupEvent::ReportReceived { .. } => (),
        }
    }

    pub(super) fn replicated_log(&mut self) -> Option<&mut ReplicatedLog> {
        match &mut self.log {
            DurableLog::File(_) => None,
            DurableLog::Replicated(log) => Some(log),
        }
    }

    /// Stops decisions on the group's events, because another process may own them. An event with
    /// an attempt in flight is retained until the attempt ends, and no longer.
    fn lose_group(&mut self, scheduler: &mut Scheduler, group: GroupId) {
        let Some(table) = self.replicated_log().and_then(|log| log.lose(group)) else {
            return;
        };
        info!(self.context.log, "event log group lost"; "group" => group_name(group),
            "events" => table.len());
        if let Some(log) = self.replicated_log() {
            log.drop_deferred_adoptions(group);
        }
        for id in table.event_ids() {
            let id = EventId(id.into());
            let in_flight = self.attempts_in_flight.contains(&id) && self.retained.contains(&id);
            if !in_flight && !self.log.contains(&id) {
                self.release_ownership(scheduler, &id);
            }
        }
    }

    fn release_ownership(&mut self, scheduler: &mut Scheduler, id: &EventId) {
        self.retained.remove(id);
        scheduler.withdraw_event(id);
        // An outcome that was not acknowledged does not delay other events here.
        scheduler.on_completion_acknowledged(id);
    }

    /// Handles the end of an attempt: an event of a lost group was retained only for the attempt,
    /// and an event of an adopted group may have waited for the end.
    pub(super) fn resume_after_attempt(&mut self, scheduler: &mut Scheduler, event: &EventId) {
        if let DurableLog::File(_) = self.log {
            return;
        }
        if self.retained.contains(event) && !self.log.contains(event) {
            self.release_ownership(scheduler, event);
        }
        let deferred = match self.replicated_log() {
            Some(log) => log.take_deferred_adoptions(event),
            None => Vec::new(),
        };
        for adoption in deferred {
            let pending = self
                .replicated_log()
                .and_then(|log| log.pending_event(adoption.group, &adoption.event));
            if let Some(pending) = pending {
                self.adopt(scheduler, adoption.group, pending);
            }
        }
    }

    /// Adopts the events of a group that this process has come to lead.
    fn lead_group(
        &mut self,
        scheduler: &mut Scheduler,
        group: GroupId,
        term: Term,
        snapshot: &[u8],
    ) {
        self.lose_group(scheduler, group);
        let DurableLog::Replicated(log) = &mut self.log else {
            return;
        };
        let Ok(mut table) = state_machine::decode_snapshot(snapshot) else {
            error!(self.context.log, "event log snapshot cannot be decoded";
                "group" => group_name(group));
            return;
        };
        restore_warm_ups(scheduler, &mut table, |target| {
            self.commands.targets().contains(target)
        });
        let pending = table.pending_events();
        let role = log.lead(group, table);
        let in_flight = pending
            .iter()
            .filter(|pending| pending.in_flight.is_some())
            .count();
        info!(self.context.log, "event log group led"; "group" => group_name(group),
            "term" => term.0, "own" => role == LeaderRole::Own, "pending" => pending.len(),
            "in_flight" => in_flight);
        for pending in pending {
            self.adopt(scheduler, group, pending);
        }
        if role == LeaderRole::Own {
            self.adopt_file(scheduler, group);
        }
    }

    /// Proposes the events that a process without replication left in the state folder to the own
    /// group, ahead of the iteration's own records.
    fn adopt_file(&mut self, scheduler: &mut Scheduler, group: GroupId) {
        let Some(log) = self.replicated_log() else {
            return;
        };
        let pending = log.unmigrated_events();
        log.propose_migration(group);
        if !pending.is_empty() {
            info!(self.context.log, "event log file proposed to its group";
                "pending" => pending.len());
        }
        // Their attempts ended with the process that made them.
        for pending in pending {
            self.restore_event(scheduler, pending);
        }
    }

    /// State of an event of the group in this process. None while an attempt is in flight here under
    /// the id of an event that was withdrawn.
    fn local_knowledge(&self, group: GroupId, id: &EventId) -> Option<LocalKnowledge> {
        let DurableLog::Replicated(log) = &self.log else {
            return None;
        };
        let retained = self.retained.contains(id);
        if log.contains_elsewhere(group, id) {
            return Some(match retained {
                true => LocalKnowledge::Pending,
                false => LocalKnowledge::Completed,
            });
        }
        if retained {
            return Some(LocalKnowledge::OwnAttemptInFlight);
        }
        if self.resolved_locally.contains(id) {
            return Some(LocalKnowledge::Completed);
        }
        if self.attempts_in_flight.contains(id) {
            return None;
        }
        Some(LocalKnowledge::Unknown)
    }

    fn adopt(&mut self, scheduler: &mut Scheduler, group: GroupId, pending: PendingEvent) {
        let id = EventId(pending.event.id.as_ref().into());
        let knowledge = self.local_knowledge(group, &id);
        let Some(log) = self.replicated_log() else {
            return;
        };
        let Some(knowledge) = knowledge else {
            log.defer_adoption(group, id);
            return;
        };
        let max_stall = log.max_stall();
        let in_flight_until = match plan_adoption(&pending, knowledge, self.now, max_stall) {
            AdoptionAction::AwaitOwnAttempt => None,
            AdoptionAction::Discard => {
                if let Some(log) = self.replicated_log() {
                    log.complete_in(group, &id);
                }
                None
            }
            AdoptionAction::NotifyAgain(outcome, retry_after) => {
                self.submit_to_scheduler(scheduler, &pending.event);
                scheduler.restore_completed(&id);
                self.notices.stage(CompletionNotice {
                    event: id.clone(),
                    outcome,
                    retry_after,
                });
                None
            }
            AdoptionAction::Merge { in_flight_until } => {
                let may_have_run = self.first_attempt_that_may_have_run(&pending);
                scheduler.merge_remote_attempts(&id, pending.attempts, may_have_run);
                in_flight_until
            }
            AdoptionAction::Restore { in_flight_until } => {
                self.restore_event(scheduler, pending);
                in_flight_until
            }
        };
        if let Some(until) = in_flight_until {
            scheduler.defer_for_remote_attempt(&id, until);
        }
    }
}

/// Resumes the warm-up of targets that are listed; targets that are no longer listed are dropped
/// from the table.
fn restore_warm_ups(
    scheduler: &mut Scheduler,
    table: &mut EventTable,
    is_listed: impl Fn(&TargetId) -> bool,
) {
    let warming_up: Vec<(TargetId, f64, f64)> = table
        .warming_up_targets()
        .map(|(target, since, usual)| (TargetId(target.into()), since, usual))
        .collect();
    for (target, since, usual) in warming_up {
        if is_listed(&target) {
            scheduler.restore_warm_up(&target, since, usual);
        } else {
            table.record_warm_up_end(&target.0);
        }
    }
}
