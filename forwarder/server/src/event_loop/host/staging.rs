//! Staging of an iteration's effects with replication: effects wait until the iteration's records
//! are committed, and are then sent in the order of the iterations.

use plankhill_decisions::interface::{EventId, Ms, TargetId};
use plankhill_hot_restart::SubmitResponse;
use plankhill_replication::pipeline::CommitOutcome;
use plankhill_replication::ReleasedIteration;
use slog::info;

use super::adoption::group_name;
use super::SchedulerHost;
use crate::event_loop::command_queue::QueuedCommand;
use crate::event_loop::durable_log::DurableLog;
use crate::event_loop::replicated_log::{IterationEffects, PendingNotice, PendingResponse};
use crate::messages::{OutgoingCall, TargetCommand};

/// Interval for retrying to submit proposals that the ring to the groups thread had no room for,
/// and to send calls whose groups' leases this process did not hold.
const RETRY_INTERVAL: Ms = 2.0;

impl SchedulerHost {
    /// Proposes the iteration's records and stages its effects until they are committed.
    /// `accepted`: events whose clients wait for a response.
    pub(in crate::event_loop) fn stage_effects(&mut self, accepted: Vec<EventId>) {
        let DurableLog::Replicated(log) = &mut self.log else {
            return;
        };
        let own_group = log.own_group();
        let mut responses = Vec::new();
        for id in accepted {
            let response = self.retained.take_response(&id);
            if let (Some(group), Some(response)) = (own_group, response) {
                responses.push(PendingResponse { group, response });
            }
        }
        let mut notices = Vec::new();
        for notice in self.notices.take_staged() {
            let groups = log.groups_with(&notice.event);
            notices.push(PendingNotice { groups, notice });
        }
        let commands = self.commands.take_queued();
        log.propose(IterationEffects {
            responses,
            commands,
            notices,
        });
        for group in log.dissolve_empty_groups() {
            info!(self.context.log, "empty event log group dissolved";
                "group" => group_name(group));
        }
    }

    /// Submits proposals and sends committed effects.
    pub(in crate::event_loop) fn release_committed(&mut self) {
        let Some(log) = self.replicated_log() else {
            return;
        };
        let all_submitted = log.submit_proposals();
        for (target, call) in log.take_awaiting_lease() {
            self.send_committed_call(target, call);
        }
        while let Some((effects, released)) = self.replicated_log().and_then(|log| log.release()) {
            self.send_committed_effects(effects, &released);
        }
        self.notices.send_deferred();
        let awaits_lease = self
            .replicated_log()
            .is_some_and(|log| log.has_awaiting_lease());
        if !all_submitted || awaits_lease {
            let earliest = self.wake_up_at.unwrap_or(f64::INFINITY);
            self.wake_up_at = Some(earliest.min(self.now + RETRY_INTERVAL));
        }
    }

    fn send_committed_effects(
        &mut self,
        effects: IterationEffects,
        released: &ReleasedIteration<()>,
    ) {
        let is_committed = |group| released.outcome_in(group) == CommitOutcome::Committed;
        for PendingResponse { group, response } in effects.responses {
            let _ = match released.outcome_in(group) {
                CommitOutcome::Committed => response.try_send(SubmitResponse::Accepted),
                CommitOutcome::Discarded => response.try_send(SubmitResponse::Rejected(None)),
                // The result is not known: the connection is closed without a response.
                CommitOutcome::Partial => Ok(()),
            };
        }
        for QueuedCommand { target, command } in effects.commands {
            match command {
                TargetCommand::Call(mut call) => {
                    if !call.groups.iter().all(|group| is_committed(*group)) {
                        // A call without groups ends as not sent.
                        call.groups.clear();
                    }
                    self.send_committed_call(target, call);
                }
                command => self.commands.send_or_fail(target, command),
            }
        }
        for PendingNotice { groups, notice } in effects.notices {
            if groups.iter().any(|group| is_committed(*group)) {
                self.notices.defer(&self.context.log, notice);
            } else {
                // The event's new owner decides on its outcome.
                self.notices.discard();
            }
        }
    }

    /// Sends a committed call if this process certainly owns its event. A lease that lapses on a
    /// busy machine is renewed with the next heartbeat, or the group is lost.
    fn send_committed_call(&mut self, target: TargetId, mut call: OutgoingCall) {
        let DurableLog::Replicated(log) = &mut self.log else {
            return;
        };
        // The time that the call waited here is not deducted from its timeout, which is based on
        // the target's own responses.
        let deadline = self
            .retained
            .get(&call.event)
            .map_or(0.0, |event| event.deadline());
        let left = call.timeout.min(deadline - self.context.clock.now());
        let led = !call.groups.is_empty() && call.groups.iter().all(|group| log.is_led(*group));
        if !led || left <= 0.0 {
            self.commands
                .targets()
                .fail(target, TargetCommand::Call(call));
            return;
        }
        if !call.groups.iter().all(|group| log.holds_lease(*group)) {
            log.await_lease(target, call);
            return;
        }
        call.timeout = left;
        self.commands
            .send_or_fail(target, TargetCommand::Call(call));
    }

    /// Cancels the calls to the target that wait for their commit or lease.
    pub(super) fn cancel_staged_calls(&mut self, target: &TargetId) {
        if let Some(log) = self.replicated_log() {
            log.cancel_calls_to(target);
        }
    }
}
