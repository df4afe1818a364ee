//! Application of the event loop's inputs to the scheduler and to the host's own state.

use plankhill_decisions::interface::{AttemptReport, EventId, UnknownId};
use plankhill_decisions::scheduler::Scheduler;
use slog::{debug, warn};

use super::SchedulerHost;
use crate::connection_quotas::Permit;
use crate::messages::{InheritedConnection, Input, ReturnedConnection, Submission, TargetCommand};

impl SchedulerHost {
    pub(in crate::event_loop) fn apply(&mut self, scheduler: &mut Scheduler, input: Input) {
        match input {
            Input::Submitted(submission) => submit(scheduler, submission),
            Input::Withdrawn {
                event,
                request_number,
            } => {
                self.withdraw(scheduler, &event, request_number);
            }
            Input::AttemptEnded { event, report } => {
                self.attempt_ended(scheduler, &event, report);
            }
            Input::HealthCheckEnded { target, outcome } => {
                self.commands.health_check_ended(&target);
                if scheduler.on_health_check_ended(&target, outcome).is_err() {
                    debug!(self.context.log, "health check ended at a removed target";
                        "target" => &*target.0);
                }
            }
            Input::EndpointPage(page) => self.apply_endpoint_page(scheduler, &page),
            Input::TargetActorStopped(target) => {
                self.commands.targets_mut().actor_stopped(&target);
            }
            Input::ConnectionInherited(connection) => self.inherit_connection(connection),
            // Acknowledged after all earlier inputs have been applied: the decisions on them reach
            // the target's actor in the same turn of the executor.
            Input::Barrier(reached) => {
                let _ = reached.try_send(());
            }
            // Handled at the end of the iteration.
            Input::HandOver(_) => (),
            Input::NoticesAcknowledged(events) => self.acknowledge_notices(scheduler, &events),
            Input::BroadcastOutcome { event, outcome } => {
                self.record_outcome(scheduler, event, outcome);
            }
            Input::AdminCommand { command, reply } => {
                // If the caller has already received a failure, the reply channel is closed and the
                // command is not executed.
                if !reply.is_closed() {
                    let _ = reply.try_send(self.run_admin_command(scheduler, command));
                }
            }
            Input::GroupEvent(event) => self.apply_group_event(scheduler, event),
            Input::ShutdownRequested => {
                scheduler.begin_shutdown(self.now + self.context.config.shutdown_timeout);
            }
        }
    }

    /// Withdraws an event whose client disconnected before it received its response.
    fn withdraw(&mut self, scheduler: &mut Scheduler, event: &EventId, request_number: u64) {
        if self.retained.was_submitted_by(event, request_number) {
            self.retained.remove(event);
            self.complete(event);
            scheduler.withdraw_event(event);
        }
    }

    fn attempt_ended(&mut self, scheduler: &mut Scheduler, event: &EventId, report: AttemptReport) {
        self.attempts_in_flight.remove(event);
        if report.event_complete {
            self.complete(event);
            if let Some(fanout) = &self.context.fanout {
                fanout.event_completed(event, true);
            }
            self.resolved_locally.add(event, self.now);
            self.retained.remove(event);
        } else if !report.outcome.may_have_run() {
            self.log.record_attempt_not_executed(event);
        }
        if let Err(UnknownId(kind)) = scheduler.on_attempt_ended(event, report) {
            warn!(self.context.log, "attempt ended that is not known"; "event" => &*event.0,
                "unknown" => kind);
        }
        self.resume_after_attempt(scheduler, event);
    }

    /// Takes over an idle connection of the predecessor, if its target still has that address.
    fn inherit_connection(&mut self, connection: InheritedConnection) {
        let InheritedConnection {
            target,
            stream,
            idle_since,
        } = connection;
        let Ok(address) = stream.get_ref().peer_addr() else {
            return;
        };
        if self.commands.targets().address(&target) != Some(address) {
            return;
        }
        let permit = Permit::unlimited(&target);
        let returned = ReturnedConnection {
            stream,
            address,
            idle_since,
            permit,
        };
        self.commands.send_now(
            &target,
            TargetCommand::ConnectionReturned(Box::new(returned)),
        );
    }

    fn acknowledge_notices(&mut self, scheduler: &mut Scheduler, events: &[EventId]) {
        self.notices.acknowledge(events.len());
        for event in events {
            self.complete(event);
            if let Some(fanout) = &self.context.fanout {
                fanout.event_completed(event, false);
            }
            scheduler.on_completion_acknowledged(event);
        }
    }
}

fn submit(scheduler: &mut Scheduler, submission: Submission) {
    let Submission {
        event, deadline, ..
    } = submission;
    scheduler.accept_event(
        event.id,
        event.destination,
        event.traffic_type,
        deadline,
        event.key,
    );
}
