//! Starts a forwarder: the configuration of its decider, the endpoint list, and the pending events
//! of its log.

use plankhill_decisions::interface::{self as names, DecisionConfig, DestinationKind, TrafficType};
use plankhill_forwarder_config::scenario::Idempotency;
use plankhill_invariants::Observation;
use rustc_hash::{FxHashMap, FxHashSet};

use super::state::Forwarder;
use super::{Step, World};
use crate::deciders::{self, Decider, EventKey, Input};

impl World<'_> {
    pub(super) fn new_forwarder(&self, forwarder_id: u32) -> Forwarder {
        let zone = forwarder_id as usize % self.scenario.network.zones.len();
        Forwarder {
            decider: Some(self.start_decider(forwarder_id, 0)),
            zone,
            incarnation: 0,
            inbox: Vec::new(),
            iteration_scheduled: false,
            last_iteration: f64::NEG_INFINITY,
            next_wake_up: f64::INFINITY,
            stalled_until: 0.0,
            died_at: None,
            closing: None,
            known_changes: 0,
            missed: Vec::new(),
            list_update_scheduled: false,
            list_frozen_until: 0.0,
            introduced: FxHashSet::default(),
            pending_events: 0,
            idle: FxHashMap::default(),
            cold: FxHashMap::default(),
        }
    }

    pub(super) fn start_decider(&self, forwarder_id: u32, incarnation: u32) -> Box<dyn Decider> {
        let scenario = self.scenario;
        let rules = &self.scenario.rules;
        let traffic = scenario.traffic.iter().map(|of| TrafficType {
            idempotency: match of.effect {
                Idempotency::Idempotent => names::Idempotency::Idempotent,
                Idempotency::NonIdempotent => names::Idempotency::NonIdempotent,
                Idempotency::Deduplicated => names::Idempotency::Deduplicated {
                    window: of.window,
                    per_zone: of.one_zone,
                },
            },
            soft_limit: of.soft_limit,
            time_to_deadline: of.patience,
            value: of.payoff,
            value_at_end: of.payoff_at_end,
            ordered: of.ordered,
        });
        let kinds = scenario.destinations.iter().map(|group| DestinationKind {
            independent_routes: group.independent_routes,
            max_events_per_call: group.events_per_call,
        });
        let config = DecisionConfig {
            seed: scenario.seed ^ (incarnation as u64) << 48,
            instance: forwarder_id as u64,
            forwarder_count: scenario.forwarders.count as f64,
            traffic_types: traffic.collect(),
            destination_kinds: kinds.collect(),
            max_calls_in_flight: scenario.forwarders.max_calls_in_flight,
            event_capacity: scenario.forwarders.event_capacity,
            max_attempts: rules.max_attempts,
            health_checks_allowed: rules.health_checks,
            member_quotas: Vec::new(),
            over_quota_value_weight: 1.0,
            max_retry_after: rules.max_retry_after,
            warm_up_initial_share: rules.warm_up_initial_share,
            warm_up_duration: rules.warm_up_duration,
            overload_multiple: rules.overload_multiple,
            key_cooldown: rules.key_cooldown,
            tuning: names::Tuning::default(),
        };
        let of = &scenario.forwarders;
        deciders::start(of.decisions, config, of.time_out, &self.names, self.now)
    }

    /// Starts a new process. Its decider receives the present endpoint list, then all pending events in
    /// the order of acceptance.
    pub(super) fn start_process(&mut self, forwarder_id: u32) {
        let incarnation = self.forwarders[forwarder_id as usize].incarnation;
        self.observe(Observation::Resumed {
            forwarder: forwarder_id,
            is_new_process: true,
        });
        let decider = self.start_decider(forwarder_id, incarnation);
        let it = &mut self.forwarders[forwarder_id as usize];
        (it.decider, it.died_at, it.stalled_until) = (Some(decider), None, 0.0);
        (it.known_changes, it.last_iteration) = (self.changes.len(), self.now);
        it.missed.clear();
        let owed = self
            .events
            .iter()
            .filter(|(_, event)| event.forwarder == forwarder_id);
        let mut owed: Vec<(u64, EventKey)> = owed.map(|(key, event)| (event.number, key)).collect();
        owed.sort_unstable();
        let mut inputs = Vec::new();
        for (_, event) in owed {
            let destination = self.events[event].client_event.destination;
            self.introduce_destination(forwarder_id, destination, &mut inputs);
            let pending = &mut self.events[event];
            let was_out = pending.out.take().is_some();
            let traffic = pending.client_event.traffic as usize;
            let deadline = pending.client_event.deadline;
            let key = pending.client_event.key;
            inputs.push(Input::Accepted {
                event,
                destination,
                traffic,
                deadline,
                key,
                again: true,
            });
            let attempts = pending.attempts;
            let may_have_run = pending.may_have_run;
            if attempts > 0 {
                inputs.push(Input::AttemptsRestored {
                    event,
                    attempts,
                    may_have_run,
                    was_out,
                });
            }
            if pending.ended {
                inputs.push(Input::CompletionRestored { event });
                self.queue.put(
                    self.now + self.scenario.forwarders.notification_delay,
                    Step::CompletionAcknowledged(forwarder_id, incarnation, event),
                );
            }
        }
        let mut cold: Vec<_> = std::mem::take(&mut self.forwarders[forwarder_id as usize].cold)
            .into_iter()
            .collect();
        cold.sort_unstable_by_key(|(target, _)| *target);
        for (target, (since, usual)) in cold {
            let destination = self.targets[target as usize].destination;
            if self.now - since < self.scenario.rules.warm_up_duration {
                self.introduce_destination(forwarder_id, destination, &mut inputs);
                inputs.push(Input::WarmUpRestored {
                    target,
                    since,
                    usual,
                });
            }
        }
        self.decide(forwarder_id, inputs);
    }
}
