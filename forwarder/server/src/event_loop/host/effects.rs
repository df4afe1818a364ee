//! Execution of the scheduler's decisions. Effects are collected during an iteration and executed
//! after it, once they are recorded in the log.

use plankhill_decisions::interface::{Effects, EventId, Ms, TargetId};
use plankhill_event_log::Outcome;
use plankhill_hot_restart::SubmitResponse;
use slog::debug;

use super::SchedulerHost;
use crate::messages::{CompletionNotice, OutgoingCall, TargetCommand};

/// Added to the delay of each wake-up, so that rounding does not end the delay before the timer is
/// due.
const WAKE_UP_MARGIN: Ms = 0.01;

impl SchedulerHost {
    /// Fails attempts and health checks whose log records could not be written; they are never
    /// sent.
    pub(in crate::event_loop) fn fail_queued_commands(&mut self) {
        self.commands.fail_queued();
    }

    /// Sends the commands of the iteration, then its notices.
    pub(in crate::event_loop) fn send_effects(&mut self) {
        self.commands.send_queued();
        self.notices.send_staged(&self.context.log);
    }

    /// Ends an event with an outcome other than delivery. A client that still waits receives the
    /// outcome as its response; otherwise the platform receives a notice, and the function returns
    /// true.
    pub(super) fn end_event(
        &mut self,
        event: &EventId,
        outcome: Outcome,
        retry_after: Option<Ms>,
    ) -> bool {
        let response = self
            .retained
            .remove(event)
            .and_then(|event| event.into_response());
        let Some(response) = response else {
            self.log.record_outcome(event, outcome, retry_after);
            if outcome == Outcome::Abandoned {
                self.resolved_locally.add(event, self.now);
            }
            let notice = CompletionNotice {
                event: event.clone(),
                outcome,
                retry_after,
            };
            self.notices.stage(notice);
            if let Some(fanout) = &self.context.fanout {
                fanout.on_event_ended(event, outcome);
            }
            return true;
        };
        self.log.complete(event);
        let _ = response.try_send(match outcome {
            Outcome::Rejected => SubmitResponse::Rejected(retry_after),
            Outcome::Abandoned => SubmitResponse::Failed,
        });
        false
    }
}

impl Effects for SchedulerHost {
    fn send_attempt(
        &mut self,
        event: &EventId,
        target: &TargetId,
        timeout: Ms,
        last_byte_deadline: Ms,
    ) {
        let Some(retained) = self.retained.get(event) else {
            return;
        };
        let zone = self.commands.targets().zone(target);
        // The zone of a removed target is not known: an empty name matches no zone of the settings.
        let zone = self
            .context
            .config
            .names
            .zones
            .get(zone.0)
            .map_or("", String::as_str);
        self.log.record_attempt(event, self.now, zone, timeout);
        self.attempts_in_flight.insert(event.clone());
        if let Some(fanout) = &self.context.fanout {
            fanout.attempt_started(event, target);
        }
        debug!(self.context.log, "attempt sent"; "event" => &*event.0, "target" => &*target.0,
            "timeout_ms" => timeout);
        let call = OutgoingCall {
            event: event.clone(),
            decided_at: self.context.clock.instant(self.now),
            fingerprint: retained.fingerprint(),
            body: retained.body(),
            timeout,
            deadline: retained.deadline(),
            last_byte_deadline,
            groups: self.log.groups_of(event),
        };
        self.commands
            .push(target.clone(), TargetCommand::Call(call));
    }

    fn reject(&mut self, event: &EventId, retry_after: Option<Ms>) -> bool {
        self.end_event(event, Outcome::Rejected, retry_after)
    }

    fn abandon(&mut self, event: &EventId) -> bool {
        self.end_event(event, Outcome::Abandoned, None)
    }

    fn health_check(&mut self, target: &TargetId) {
        self.commands.health_check_started(target);
        if let Some(fanout) = &self.context.fanout {
            fanout.on_target_unavailable(target);
        }
        self.commands
            .push(target.clone(), TargetCommand::HealthCheck);
    }

    fn close_idle_connections(&mut self, target: &TargetId) {
        self.commands.push(target.clone(), TargetCommand::CloseIdle);
    }

    fn cancel_unsent(&mut self, target: &TargetId) {
        self.cancel_staged_calls(target);
        // Sent at once, ahead of the iteration's own attempts: an attempt that is not sent needs no
        // record, and its cancellation requires neither a writable log nor a response of the
        // majority.
        self.cancel_at_predecessor(target);
        self.commands.send_now(target, TargetCommand::CancelUnsent);
    }

    fn record_warm_up(&mut self, target: &TargetId, since: Ms, usual: f64) {
        if let Some(quotas) = &self.context.quotas {
            let warm_up_duration = self.context.config.decisions.warm_up_duration;
            quotas.set_warming_up(target, since + warm_up_duration - self.now);
        }
        self.log.record_warm_up(target, since, usual);
        if let Some(fanout) = &self.context.fanout {
            fanout.on_target_unavailable(target);
        }
    }

    fn wake_after(&mut self, pause: Ms) {
        self.wake_up_at = Some(self.now + pause + WAKE_UP_MARGIN);
    }
}
