//! The decision module as a decider, used through its public interface.

use plankhill_decisions::interface::{
    AttemptReport, DecisionConfig, DestinationId, DestinationKindId, Effects, EndpointState,
    EventId, InputResult, Ms, OrderKey, TargetId, TrafficTypeId, ZoneId,
};
use plankhill_decisions::scheduler::Scheduler;
use slotmap::{Key, KeyData};

use super::{Decider, Decision, EventKey, Input, TargetNames};

pub struct ModuleDecider {
    forwarder: Scheduler,
    names: TargetNames,
    /// Events accepted in the present iteration: their client is still waiting for the response, so
    /// that no notification is needed.
    accepted_now: Vec<EventKey>,
}

impl ModuleDecider {
    pub fn start(config: DecisionConfig, names: TargetNames, now: Ms) -> Self {
        ModuleDecider {
            forwarder: Scheduler::new(config, now),
            names,
            accepted_now: Vec::new(),
        }
    }
}

fn event_id(key: EventKey) -> EventId {
    EventId(itoa::Buffer::new().format(key.data().as_ffi()).into())
}

fn event_key(id: &EventId) -> EventKey {
    KeyData::from_ffi(id.0.parse().expect("made of a number")).into()
}

fn target_number(id: &TargetId) -> u32 {
    id.0.parse().expect("made of a number")
}

impl Decider for ModuleDecider {
    fn iterate(&mut self, now: Ms, inputs: &[Input], out: &mut Vec<Decision>) {
        let ModuleDecider {
            forwarder,
            names,
            accepted_now,
        } = self;
        accepted_now.clear();
        let fresh_ones = inputs.iter().filter_map(|input| match input {
            Input::Accepted {
                event,
                again: false,
                ..
            } => Some(*event),
            _ => None,
        });
        accepted_now.extend(fresh_ones);
        let mut written = DecisionLog { out, accepted_now };
        let came_in = |forwarder: &mut Scheduler, _: &mut DecisionLog| {
            inputs
                .iter()
                .try_for_each(|input| hand_over(forwarder, names, input))
        };
        forwarder
            .run_iteration(now, came_in, &mut written)
            .expect("the model names only what it introduced");
    }
}

fn hand_over(to: &mut Scheduler, names: &TargetNames, input: &Input) -> InputResult {
    let name = |target: u32| names.borrow()[target as usize].clone();
    match *input {
        Input::EndpointListed {
            target,
            destination,
            kind,
            zone,
            listing,
        } => to.on_endpoint_listed(
            name(target),
            DestinationId(destination as u64),
            DestinationKindId(kind),
            ZoneId(zone),
            listing,
        ),
        Input::EndpointRemoved { target } => {
            to.set_endpoint_state(&name(target), EndpointState::Removed)
        }
        Input::Accepted {
            event,
            destination,
            traffic,
            deadline,
            key,
            ..
        } => to.accept_event(
            event_id(event),
            DestinationId(destination as u64),
            TrafficTypeId(traffic),
            deadline,
            key.map(OrderKey),
        ),
        Input::AttemptsRestored {
            event,
            attempts,
            may_have_run,
            was_out,
        } => {
            let may_have_run = may_have_run.map(|(at, zone)| (at, ZoneId(zone)));
            to.restore_attempts(&event_id(event), attempts, may_have_run, was_out)
        }
        Input::CompletionRestored { event } => to.restore_completed(&event_id(event)),
        Input::AttemptEnded {
            event,
            outcome,
            elapsed,
            wait,
        } => {
            return to.on_attempt_ended(
                &event_id(event),
                AttemptReport {
                    elapsed,
                    retry_after: wait,
                    ..AttemptReport::from_outcome(outcome)
                },
            )
        }
        Input::HealthCheckEnded { target, outcome } => {
            // The scheduler may have removed the target in the meantime; the outcome is irrelevant then.
            let _ = to.on_health_check_ended(&name(target), outcome);
        }
        Input::CompletionAcknowledged { event } => to.on_completion_acknowledged(&event_id(event)),
        Input::WarmUpRestored {
            target,
            since,
            usual,
        } => to.restore_warm_up(&name(target), since, usual),
        Input::ShutdownBegan { ends } => to.begin_shutdown(ends),
    }
    Ok(())
}

struct DecisionLog<'a> {
    out: &'a mut Vec<Decision>,
    accepted_now: &'a [EventKey],
}

impl DecisionLog<'_> {
    fn end(&mut self, event: &EventId, dismissed: bool, retry_after: Option<Ms>) -> bool {
        let event = event_key(event);
        let by_notification = !self.accepted_now.contains(&event);
        self.out.push(Decision::Complete {
            event,
            dismissed,
            retry_after,
            by_notification,
        });
        by_notification
    }
}

impl Effects for DecisionLog<'_> {
    fn send_attempt(&mut self, event: &EventId, target: &TargetId, timeout: Ms, _: Ms) {
        self.out.push(Decision::SendAttempt {
            event: event_key(event),
            target: target_number(target),
            timeout,
        });
    }
    fn reject(&mut self, event: &EventId, retry_after: Option<Ms>) -> bool {
        self.end(event, true, retry_after)
    }
    fn abandon(&mut self, event: &EventId) -> bool {
        self.end(event, false, None)
    }
    fn health_check(&mut self, target: &TargetId) {
        self.out.push(Decision::HealthCheck {
            target: target_number(target),
        });
    }
    fn close_idle_connections(&mut self, target: &TargetId) {
        self.out.push(Decision::CloseIdleConnections {
            target: target_number(target),
        });
    }
    fn cancel_unsent(&mut self, target: &TargetId) {
        self.out.push(Decision::CancelUnsent {
            target: target_number(target),
        });
    }
    fn record_warm_up(&mut self, target: &TargetId, since: Ms, usual: f64) {
        self.out.push(Decision::RecordWarmUp {
            target: target_number(target),
            since,
            usual,
        });
    }
    fn wake_after(&mut self, pause: Ms) {
        self.out.push(Decision::WakeUp { pause });
    }
}
