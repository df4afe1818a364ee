//! One forwarder: the decision module as it is, and its station.

use std::collections::HashMap;

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_fanout::*;

pub type Copy = (Subscriber, Position);

pub fn terms(instance: u64, forwarders: usize, slots: usize, patience: Ms) -> DecisionConfig {
    let traffic = TrafficType {
        idempotency: Idempotency::Idempotent,
        soft_limit: 1000.0,
        patience,
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

pub enum CameIn {
    HandIn(EventId, Copy, Ms),
    CallEnds(EventId, AttemptOutcome, Ms),
    PingEnds(TargetId),
    Wake,
}

/// What leaves with a round.
#[derive(Default)]
pub struct Leaves {
    pub calls: Vec<(EventId, Copy, Ms)>,
    pub pings: Vec<TargetId>,
    pub wake: Option<Ms>,
    ended: Vec<(EventId, Outcome)>,
    copies: HashMap<EventId, Copy>,
}

pub struct Instance {
    pub station: LocalInstance,
    pub applied: usize,
    pub stalled: Ms,
    pub wake_at: Option<Ms>,
    module: Scheduler,
    leaves: Leaves,
}

impl Host for Leaves {
    fn is_pending(&self, event: &EventId) -> bool {
        self.copies.contains_key(event)
    }
}

impl Instance {
    pub fn new(id: u64, terms: DecisionConfig, subscribers: u64) -> Self {
        let mut module = Scheduler::new(terms, 0.0);
        let list = |module: &mut Scheduler, _: &mut Leaves| -> InputResult {
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
        let mut leaves = Leaves::default();
        let _ = module.run_iteration(0.0, list, &mut leaves);
        let station = LocalInstance::new(InstanceId(id), 1, FanoutState::default());
        Instance {
            station,
            applied: 0,
            stalled: 0.0,
            wake_at: None,
            module,
            leaves,
        }
    }

    /// What the log says, up to its end; then the copies that it hands over.
    pub fn hears(&mut self, now: Ms, log: &[Command]) -> Vec<CameIn> {
        let mut came = Vec::new();
        for command in &log[self.applied..] {
            for order in self.station.applied(now, &self.leaves, command.clone()) {
                match order {
                    HostRequest::Submit {
                        event,
                        subscriber,
                        position,
                        deadline: patience_ends,
                    } => {
                        came.push(CameIn::HandIn(event, (subscriber, position), patience_ends));
                    }
                    HostRequest::NotifyOutcome {
                        subscriber,
                        position,
                        outcome,
                        ..
                    } => {
                        self.station
                            .on_outcome_acknowledged(now, (subscriber, position), outcome);
                    }
                    _ => (),
                }
            }
        }
        self.applied = log.len();
        came
    }

    pub fn round(&mut self, now: Ms, came: Vec<CameIn>) -> (Leaves, Vec<(Copy, Outcome)>) {
        let mut delivered = Vec::new();
        let hand_over = |module: &mut Scheduler, leaves: &mut Leaves| -> InputResult {
            for what in came {
                match what {
                    CameIn::HandIn(event, copy, patience_ends) => {
                        leaves.copies.insert(event.clone(), copy);
                        module.accept_event(event, copy.0, TrafficTypeId(0), patience_ends, None);
                    }
                    CameIn::CallEnds(event, fate, took) => {
                        if fate == AttemptOutcome::Delivered {
                            delivered.push((event.clone(), Outcome::Completed));
                        }
                        module.on_attempt_ended(
                            &event,
                            AttemptReport {
                                elapsed: took,
                                ..AttemptReport::from_outcome(fate)
                            },
                        )?;
                    }
                    CameIn::PingEnds(target) => {
                        module.on_health_check_ended(&target, AttemptOutcome::Delivered)?
                    }
                    CameIn::Wake => (),
                }
            }
            Ok(())
        };
        self.module
            .run_iteration(now, hand_over, &mut self.leaves)
            .expect("all is introduced");
        let copies = std::mem::take(&mut self.leaves.copies);
        let mut leaves = std::mem::replace(
            &mut self.leaves,
            Leaves {
                copies,
                ..Leaves::default()
            },
        );
        let mut ends = Vec::new();
        for (event, outcome) in delivered.into_iter().chain(leaves.ended.drain(..)) {
            if let Some(copy) = self.leaves.copies.remove(&event) {
                self.station.on_outcome_acknowledged(now, copy, outcome);
                ends.push((copy, outcome));
            }
        }
        leaves
            .calls
            .iter()
            .for_each(|(_, copy, _)| self.station.on_attempt_started(now, *copy));
        (leaves, ends)
    }
}

impl Effects for Leaves {
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
        self.pings.push(target.clone());
    }
    fn close_idle_connections(&mut self, _: &TargetId) {}
    fn cancel_unsent(&mut self, _: &TargetId) {}
    fn record_warm_up(&mut self, _: &TargetId, _: Ms, _: f64) {}
    fn wake_after(&mut self, pause: Ms) {
        self.wake = Some(pause);
    }
}
