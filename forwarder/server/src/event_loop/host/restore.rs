//! Restoring of the state that a process starts from, and the snapshot for a handover to another
//! process.

use std::collections::HashMap;

use async_channel::Sender;
use plankhill_decisions::interface::{DestinationId, EventId, Ms, OrderKey, TargetId, ZoneId};
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{AcceptedEvent, Outcome, PendingEvent};
use plankhill_hot_restart::ProcessState;
use serde_json::Value;

use super::SchedulerHost;
use crate::event_loop::accepted_types;
use crate::event_loop::durable_log::DurableLog;
use crate::event_loop::retained_events::RetainedEvent;
use crate::hot_restart::transfer::Outgoing;
use crate::messages::CompletionNotice;

/// Number of request numbers reserved for a process that has handed over, which uses far fewer.
const RELAY_REQUEST_NUMBERS: u64 = 1 << 32;

/// Reason for which the state cannot be handed over to another process.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// An event has a type whose position follows the traffic types of the settings; such a
    /// position has no meaning in another process.
    #[error("an event is pending with the delivery guarantee of earlier settings")]
    AcceptedTypeInUse,
    /// The scheduler cannot be encoded.
    #[error("the scheduler's state cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
}

impl SchedulerHost {
    /// Applies the first inputs of a process that opened the state folder itself.
    pub(in crate::event_loop) fn restore(
        &mut self,
        scheduler: &mut Scheduler,
        endpoint_list: &Value,
        pending: Vec<PendingEvent>,
    ) {
        self.refresh_endpoints(scheduler, endpoint_list);
        match &mut self.log {
            DurableLog::Replicated(log) => log.create_own_group(),
            DurableLog::File(log) => {
                for (target, since, usual) in log.warming_up_targets() {
                    scheduler.restore_warm_up(&TargetId(target.into()), since, usual);
                }
                for event in pending {
                    self.restore_event(scheduler, event);
                }
            }
        }
    }

    /// Applies the endpoint list that the process starts with. Targets that were removed while no
    /// process ran are not in the list, and no removal of them will be reported.
    pub(in crate::event_loop) fn refresh_endpoints(
        &mut self,
        scheduler: &mut Scheduler,
        endpoint_list: &Value,
    ) {
        self.apply_endpoint_page(scheduler, endpoint_list);
        let targets = self.commands.targets();
        self.log
            .retain_targets(|target| targets.contains(&TargetId(target.into())));
    }

    /// The state that another process needs in addition to the files of the state folder.
    ///
    /// # Errors
    /// The scheduler cannot be encoded, or contains an event of a type that is not known in another
    /// process.
    pub(in crate::event_loop) fn process_state(
        &self,
        scheduler: &Scheduler,
    ) -> Result<ProcessState, SnapshotError> {
        if self.may_contain_accepted_type() {
            return Err(SnapshotError::AcceptedTypeInUse);
        }
        let formerly_listed = self.disabled_targets.targets().formerly_listed();
        Ok(ProcessState {
            clock_offset: self.context.clock.offset_from_system_clock(),
            scheduler: rmp_serde::to_vec(scheduler)?,
            request_numbers: self.retained.request_numbers(),
            next_request_number: self.context.request_numbers.get() + RELAY_REQUEST_NUMBERS,
            attempts_in_flight: self.attempts_in_flight.iter().cloned().collect(),
            health_checks_in_flight: self
                .commands
                .health_checks_in_flight()
                .iter()
                .cloned()
                .collect(),
            recently_completed: self.recently_completed.iter().cloned().collect(),
            formerly_listed: formerly_listed.map(str::to_owned).collect(),
            drained: self.context.client_gate.is_drained(),
        })
    }

    /// Whether the scheduler may contain an event of a type other than those of the settings.
    fn may_contain_accepted_type(&self) -> bool {
        if self.accepted_types.is_empty() {
            return false;
        }
        let is_pending = match &self.log {
            DurableLog::File(log) => {
                let pending = log.pending_events();
                accepted_types::first_with_weaker_guarantee(&self.context.config, &pending)
                    .is_some()
            }
            DurableLog::Replicated(_) => true,
        };
        // A completed event remains in the scheduler until its attempt has ended.
        is_pending
            || self
                .attempts_in_flight
                .iter()
                .any(|id| !self.log.contains(id))
    }

    /// Takes over the state of another process, which has paused; its pending events are in the
    /// log.
    pub(in crate::event_loop) fn inherit(
        &mut self,
        state: ProcessState,
        pending: Vec<PendingEvent>,
        to_predecessor: Sender<Outgoing>,
    ) {
        let request_numbers: HashMap<EventId, u64> = state.request_numbers.into_iter().collect();
        for PendingEvent { event, outcome, .. } in pending {
            let id = EventId(event.id.as_ref().into());
            if let Some((outcome, retry_after)) = outcome {
                // The notice may have been acknowledged already; repeating it is harmless.
                self.notices.stage(CompletionNotice {
                    event: id,
                    outcome,
                    retry_after,
                });
                continue;
            }
            let request_number = request_numbers.get(&id).copied().unwrap_or(0);
            self.retained
                .insert(id, RetainedEvent::restored(event, request_number));
        }
        self.attempts_in_flight = state.attempts_in_flight.into_iter().collect();
        self.commands
            .inherit_health_checks(state.health_checks_in_flight);
        for (at, id) in &state.recently_completed {
            self.recently_completed.add(id, *at);
        }
        for id in &state.formerly_listed {
            self.disabled_targets
                .targets_mut()
                .add_formerly_listed(id.as_str().into());
        }
        self.context.client_gate.set_drained(state.drained);
        self.to_predecessor = Some(to_predecessor);
    }

    /// Restores an event that an earlier process accepted and did not complete.
    pub(super) fn restore_event(&mut self, scheduler: &mut Scheduler, pending: PendingEvent) {
        let may_have_run = self.first_attempt_that_may_have_run(&pending);
        let PendingEvent {
            event,
            attempts,
            in_flight,
            outcome,
            ..
        } = pending;
        let id = EventId(event.id.as_ref().into());
        if let Some(fanout) = &self.context.fanout {
            fanout.event_restored(&id);
        }
        let type_known = self.submit_to_scheduler(scheduler, &event);
        if outcome.is_some() || !type_known {
            // The event has an outcome, or gets one because its guarantee is not known without its
            // type.
            let unsendable = match may_have_run {
                Some(_) => Outcome::Abandoned,
                None => Outcome::Rejected,
            };
            let (outcome, retry_after) = outcome.unwrap_or((unsendable, None));
            scheduler.restore_completed(&id);
            self.end_event(&id, outcome, retry_after);
            return;
        }
        self.retained
            .insert(id.clone(), RetainedEvent::restored(event, 0));
        scheduler.restore_attempts(&id, attempts, may_have_run, in_flight.is_some());
    }

    /// Passes an event of the log to the scheduler; false if its traffic type is not known.
    pub(super) fn submit_to_scheduler(
        &mut self,
        scheduler: &mut Scheduler,
        event: &AcceptedEvent,
    ) -> bool {
        let config = &self.context.config;
        let Some(traffic_type) = self.accepted_types.resolve(scheduler, config, event) else {
            return false;
        };
        let id = EventId(event.id.as_ref().into());
        let destination = DestinationId(event.destination);
        let key = event.key.map(OrderKey);
        scheduler.accept_event(id, destination, traffic_type, event.deadline, key);
        true
    }

    /// Time and zone of the first attempt that may have run. A zone that the settings no longer
    /// contain counts as unknown: an event that may be repeated only in its zone is not sent again,
    /// and ends as an event that may have run.
    pub(super) fn first_attempt_that_may_have_run(
        &self,
        pending: &PendingEvent,
    ) -> Option<(Ms, ZoneId)> {
        let (at, name) = pending
            .may_have_run
            .as_ref()
            .or(pending.in_flight.as_ref())?;
        let position = self
            .context
            .config
            .names
            .zones
            .iter()
            .position(|zone| zone == name);
        Some((*at, position.map_or(ZoneId::UNKNOWN, ZoneId)))
    }
}
