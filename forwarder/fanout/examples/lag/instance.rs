//! A simulated forwarder: the unmodified decision module and its local instance.

use std::collections::HashMap;

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_fanout::*;

pub type CopyKey = (Subscriber, Position);

pub fn decision_config(
    instance: u64,
    forwarders: usize,
    slots: usize,
    patience: Ms,
) -> DecisionConfig {
    let traffic = TrafficType {
        idempotency: Idempotency::Idempotent,
        soft_limit: 1000.0,
        time_to_deadline: patience,
        value: 1.0,
        value_at_end: 0.2,
        ordered: false,
    };
    DecisionConfig {
        seed: 7,
        instance,
        forwarder_count: forwarders as f64,
        traffic_types: vec![traffic],
        destination_kinds: vec![DestinationKind {
            independent_routes: false,
            max_events_per_call: 1,
        }],
        max_calls_in_flight: slots,
        event_capacity: 4000,
        max_attempts: 6,
        health_checks_allowed: true,
        max_retry_after: Some(2000.0),
        over_quota_value_weight: 1.0,
        warm_up_initial_share: 0.2,
        warm_up_duration: 10_000.0,
        overload_multiple: 2.0,
        key_cooldown: 300.0,
        ..DecisionConfig::default()
    }
}

pub enum InstanceInput {
    Submit(EventId, CopyKey, Ms),
    CallEnded(EventId, AttemptOutcome, Ms),
    HealthCheckEnded(TargetId),
    Wake,
}

/// The effects of one iteration.
#[derive(Default)]
pub struct IterationEffects {
    pub calls: Vec<(EventId, CopyKey, Ms)>,
    pub health_checks: Vec<TargetId>,
    pub wake: Option<Ms>,
    ended: Vec<(EventId, Outcome)>,
    copies: HashMap<EventId, CopyKey>,
}

pub struct Instance {
    pub local_instance: LocalInstance,
    pub applied: usize,
    pub stalled_until: Ms,
    pub wake_at: Option<Ms>,
    module: Scheduler,
    effects: IterationEffects,
}

impl Host for IterationEffects {
    fn is_pending(&self, event: &EventId) -> bool {
        self.copies.contains_key(event)
    }
}

impl Instance {
    pub fn new(id: u64, decision_config: DecisionConfig, subscribers: u64) -> Self {
        let mut module = Scheduler::new(decision_config, 0.0);
        let list = |module: &mut Scheduler, _: &mut IterationEffects| -> InputResult {
            for s in 0..subscribers {
                let target = TargetId(format!("t{s}").into());
                module.on_endpoint_listed(
                    target,
                    DestinationId(s),
                    DestinationKindId(0),
                    ZoneId(0),
                    EndpointState::Running,
                );
            }
            Ok(())
        };
        let mut effects = IterationEffects::default();
        let _ = module.run_iteration(0.0, list, &mut effects);
        let local_instance = LocalInstance::new(InstanceId(id), 1, FanoutState::default());
        Instance {
            local_instance,
            applied: 0,
            stalled_until: 0.0,
            wake_at: None,
            module,
            effects,
        }
    }

    /// Applies the rest of the log and returns the copies that it assigns.
    pub fn apply_log(&mut self, now: Ms, log: &[Command]) -> Vec<InstanceInput> {
        let mut inputs = Vec::new();
        for command in &log[self.applied..] {
            for request in self
                .local_instance
                .apply_command(now, &self.effects, command.clone())
            {
                match request {
                    HostRequest::Submit {
                        event,
                        subscriber,
                        position,
                        deadline: patience_ends,
                    } => {
                        inputs.push(InstanceInput::Submit(
                            event,
                            (subscriber, position),
                            patience_ends,
                        ));
                    }
                    HostRequest::NotifyOutcome {
                        subscriber,
                        position,
                        outcome,
                        ..
                    } => {
                        self.local_instance.on_outcome_acknowledged(
                            now,
                            (subscriber, position),
                            outcome,
                        );
                    }
                    _ => (),
                }
            }
        }
        self.applied = log.len();
        inputs
    }

    pub fn run_iteration(
        &mut self,
        now: Ms,
        inputs: Vec<InstanceInput>,
    ) -> (IterationEffects, Vec<(CopyKey, Outcome)>) {
        let mut delivered = Vec::new();
        let feed = |module: &mut Scheduler, effects: &mut IterationEffects| -> InputResult {
            for input in inputs {
                match input {
                    InstanceInput::Submit(event, copy, patience_ends) => {
                        effects.copies.insert(event.clone(), copy);
                        module.accept_event(event, copy.0, TrafficTypeId(0), patience_ends, None);
                    }
                    InstanceInput::CallEnded(event, attempt_outcome, duration) => {
                        if attempt_outcome == AttemptOutcome::Delivered {
                            delivered.push((event.clone(), Outcome::Completed));
                        }
                        module.on_attempt_ended(
                            &event,
                            AttemptReport {
                                elapsed: duration,
                                ..AttemptReport::from_outcome(attempt_outcome)
                            },
                        )?;
                    }
                    InstanceInput::HealthCheckEnded(target) => {
                        module.on_health_check_ended(&target, AttemptOutcome::Delivered)?
                    }
                    InstanceInput::Wake => (),
                }
            }
            Ok(())
        };
        self.module
            .run_iteration(now, feed, &mut self.effects)
            .expect("every target is listed");
        let copies = std::mem::take(&mut self.effects.copies);
        let mut effects = std::mem::replace(
            &mut self.effects,
            IterationEffects {
                copies,
                ..IterationEffects::default()
            },
        );
        let mut ends = Vec::new();
        for (event, outcome) in delivered.into_iter().chain(effects.ended.drain(..)) {
            if let Some(copy) = self.effects.copies.remove(&event) {
                self.local_instance
                    .on_outcome_acknowledged(now, copy, outcome);
                ends.push((copy, outcome));
            }
        }
        effects
            .calls
            .iter()
            .for_each(|(_, copy, _)| self.local_instance.on_attempt_started(now, *copy));
        (effects, ends)
    }
}

impl Effects for IterationEffects {
    fn send_attempt(&mut self, event: &EventId, _: &TargetId, time_out: Ms, _: Ms) {
        let copy = self.copies[event];
        self.calls.push((event.clone(), copy, time_out));
    }
    fn reject(&mut self, event: &EventId, _: Option<Ms>) -> bool {
        self.ended.push((event.clone(), Outcome::Rejected));
        false
    }
    fn abandon(&mut self, event: &EventId) -> bool {
        self.ended.push((event.clone(), Outcome::Abandoned));
        false
    }
    fn health_check(&mut self, target: &TargetId) {
        self.health_checks.push(target.clone());
    }
    fn close_idle_connections(&mut self, _: &TargetId) {}
    fn cancel_unsent(&mut self, _: &TargetId) {}
    fn record_warm_up(&mut self, _: &TargetId, _: Ms, _: f64) {}
    fn wake_after(&mut self, pause: Ms) {
        self.wake = Some(pause);
    }
}
