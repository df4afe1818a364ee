//! Test host: a scheduler, a clock that the test sets, and the effects of each iteration as strings
//! ("send a to t", "reject a", "abandon a", "health-check t", "close t", "cancel unsent t").

#![allow(dead_code)] // each test file uses only some of the items

use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DecisionConfig, DestinationId, DestinationKind,
    DestinationKindId, Effects, EndpointState, EventId, Idempotency, Ms, OrderKey, TargetId,
    TrafficType, TrafficTypeId, Tuning, UnknownId, ZoneId,
};
use plankhill_decisions::scheduler::Scheduler;

pub const IDEMPOTENT: TrafficTypeId = TrafficTypeId(0);
pub const DEDUPLICATED: TrafficTypeId = TrafficTypeId(1);
/// Ordered.
pub const NON_IDEMPOTENT: TrafficTypeId = TrafficTypeId(2);

pub struct Host {
    pub scheduler: Scheduler,
    pub now: Ms,
    /// Completions are sent as notifications, which have to be acknowledged.
    pub by_notification: bool,
    /// Target, start of the warm-up, and usual rate in calls per second.
    pub recorded_warm_ups: Vec<(TargetId, Ms, f64)>,
    /// Timeout of the last attempt.
    pub last_timeout: Ms,
    /// The time by which the last byte of the last attempt has to be sent.
    pub last_leaves_by: Ms,
}

/// Configuration of one forwarder of two, with at most 8 calls in flight and a capacity of 40
/// events. Destinations of kind 0 share a limit; those of kind 1 have independent routes and accept
/// 4 events per call.
pub fn config() -> DecisionConfig {
    let traffic_type = |idempotency, ordered| TrafficType {
        idempotency,
        soft_limit: 1000.0,
        time_to_deadline: 20_000.0,
        value: 1.0,
        value_at_end: 0.2,
        ordered,
    };
    let deduplicated = Idempotency::Deduplicated {
        window: 5000.0,
        per_zone: false,
    };
    DecisionConfig {
        seed: 7,
        instance: 0,
        forwarder_count: 2.0,
        traffic_types: vec![
            traffic_type(Idempotency::Idempotent, false),
            traffic_type(deduplicated, false),
            traffic_type(Idempotency::NonIdempotent, true),
        ],
        destination_kinds: vec![
            DestinationKind {
                independent_routes: false,
                max_events_per_call: 1,
            },
            DestinationKind {
                independent_routes: true,
                max_events_per_call: 4,
            },
        ],
        max_calls_in_flight: 8,
        event_capacity: 40,
        max_attempts: 6,
        health_checks_allowed: true,
        max_retry_after: Some(2000.0),
        member_quotas: Vec::new(),
        over_quota_value_weight: 1.0,
        warm_up_initial_share: 0.2,
        warm_up_duration: 10_000.0,
        overload_multiple: 2.0,
        key_cooldown: 300.0,
        tuning: Tuning::default(),
    }
}

pub fn default_host() -> Host {
    Host::new(|_| ())
}

pub fn event(name: &str) -> EventId {
    EventId(name.into())
}

pub fn target(name: &str) -> TargetId {
    TargetId(name.into())
}

impl Host {
    /// Creates a host in which destination 1 has target `t`, destination 2 has target `u`, and
    /// destination 3 has the routes `v` and `w`.
    pub fn new(change: impl FnOnce(&mut DecisionConfig)) -> Self {
        let mut config = config();
        change(&mut config);
        let mut host = Host {
            scheduler: Scheduler::new(config, 0.0),
            now: 0.0,
            by_notification: false,
            recorded_warm_ups: Vec::new(),
            last_timeout: 0.0,
            last_leaves_by: 0.0,
        };
        host.run(0.0, |scheduler| {
            for (name, destination, kind) in [("t", 1, 0), ("u", 2, 0), ("v", 3, 1), ("w", 3, 1)] {
                scheduler.on_endpoint_listed(
                    target(name),
                    DestinationId(destination),
                    DestinationKindId(kind),
                    ZoneId(0),
                    EndpointState::Running,
                );
            }
        });
        host
    }

    /// Runs an iteration at the time `now` and returns its effects, without wake-ups.
    pub fn run(&mut self, now: Ms, apply: impl FnOnce(&mut Scheduler)) -> Vec<String> {
        self.now = now;
        let mut log = EffectLog {
            effects: Vec::new(),
            by_notification: self.by_notification,
            recorded_warm_ups: &mut self.recorded_warm_ups,
            last_timeout: &mut self.last_timeout,
            last_leaves_by: &mut self.last_leaves_by,
        };
        let apply_inputs = |scheduler: &mut Scheduler, _: &mut EffectLog| {
            apply(scheduler);
            Ok::<(), UnknownId>(())
        };
        let result = self.scheduler.run_iteration(now, apply_inputs, &mut log);
        result.expect("the test refers only to known ids");
        log.effects
    }

    /// Lists a target of a destination, in zone 0.
    pub fn list(
        &mut self,
        now: Ms,
        name: &str,
        destination: u64,
        kind: usize,
        state: EndpointState,
    ) -> Vec<String> {
        let destination = DestinationId(destination);
        let kind = DestinationKindId(kind);
        self.run(now, |scheduler| {
            scheduler.on_endpoint_listed(target(name), destination, kind, ZoneId(0), state);
        })
    }

    /// Runs an iteration without inputs.
    pub fn idle(&mut self, now: Ms) -> Vec<String> {
        self.run(now, |_| ())
    }

    /// Accepts an event for a destination, with a deadline in 20 s.
    pub fn accept(
        &mut self,
        now: Ms,
        name: &str,
        traffic_type: TrafficTypeId,
        destination: u64,
        order_key: Option<u64>,
    ) -> Vec<String> {
        let destination = DestinationId(destination);
        let order_key = order_key.map(OrderKey);
        self.run(now, |scheduler| {
            scheduler.accept_event(
                event(name),
                destination,
                traffic_type,
                now + 20_000.0,
                order_key,
            );
        })
    }

    pub fn end_attempt(&mut self, now: Ms, name: &str, outcome: AttemptOutcome) -> Vec<String> {
        self.end_attempt_with_retry_after(now, name, outcome, 0.0)
    }

    pub fn end_attempt_with_retry_after(
        &mut self,
        now: Ms,
        name: &str,
        outcome: AttemptOutcome,
        retry_after: Ms,
    ) -> Vec<String> {
        self.end_attempt_with_report(now, name, outcome, retry_after, None)
    }

    pub fn end_attempt_with_report(
        &mut self,
        now: Ms,
        name: &str,
        outcome: AttemptOutcome,
        retry_after: Ms,
        limit_remaining: Option<f64>,
    ) -> Vec<String> {
        let elapsed = if outcome == AttemptOutcome::TimedOut {
            1500.0
        } else {
            100.0
        };
        let report = AttemptReport {
            elapsed,
            retry_after,
            limit_remaining,
            ..AttemptReport::from_outcome(outcome)
        };
        self.run(now, |scheduler| {
            scheduler
                .on_attempt_ended(&event(name), report)
                .expect("was sent")
        })
    }

    pub fn end_health_check(
        &mut self,
        now: Ms,
        name: &str,
        outcome: AttemptOutcome,
    ) -> Vec<String> {
        self.run(now, |scheduler| {
            scheduler
                .on_health_check_ended(&target(name), outcome)
                .expect("was listed");
        })
    }

    /// Destination 1 answers ten events a second until `until`, which establishes its usual
    /// traffic.
    pub fn run_healthily(&mut self, until: Ms) {
        while self.now < until {
            let now = self.now + 100.0;
            let name = format!("well{}", self.now);
            let effects = self.accept(now, &name, IDEMPOTENT, 1, None);
            assert!(effects.contains(&format!("send {name} to t")));
            self.end_attempt(now, &name, AttemptOutcome::Delivered);
        }
    }

    /// Destination 1 fails twice in a row, and a health check is sent.
    pub fn take_offline(&mut self, from: Ms) {
        self.accept(from, "down1", DEDUPLICATED, 1, None);
        self.accept(from, "down2", DEDUPLICATED, 1, None);
        self.end_attempt(from + 1.0, "down1", AttemptOutcome::ConnectFailed);
        let effects = self.end_attempt(from + 1.0, "down2", AttemptOutcome::ConnectFailed);
        assert_eq!(effects, ["health-check t"]);
    }
}

/// Returns the number of attempts among the effects.
pub fn attempts_in(effects: &[String]) -> usize {
    effects
        .iter()
        .filter(|effect| effect.starts_with("send"))
        .count()
}

struct EffectLog<'a> {
    effects: Vec<String>,
    by_notification: bool,
    recorded_warm_ups: &'a mut Vec<(TargetId, Ms, f64)>,
    last_timeout: &'a mut Ms,
    last_leaves_by: &'a mut Ms,
}

impl Effects for EffectLog<'_> {
    fn send_attempt(&mut self, event: &EventId, target: &TargetId, timeout: Ms, leaves_by: Ms) {
        assert!(timeout > 0.0);
        *self.last_timeout = timeout;
        *self.last_leaves_by = leaves_by;
        self.effects
            .push(format!("send {} to {}", event.0, target.0));
    }

    fn reject(&mut self, event: &EventId, _retry_after: Option<Ms>) -> bool {
        self.effects.push(format!("reject {}", event.0));
        self.by_notification
    }

    fn abandon(&mut self, event: &EventId) -> bool {
        self.effects.push(format!("abandon {}", event.0));
        self.by_notification
    }

    fn health_check(&mut self, target: &TargetId) {
        self.effects.push(format!("health-check {}", target.0));
    }

    fn close_idle_connections(&mut self, target: &TargetId) {
        self.effects.push(format!("close {}", target.0));
    }

    fn cancel_unsent(&mut self, target: &TargetId) {
        self.effects.push(format!("cancel unsent {}", target.0));
    }

    fn record_warm_up(&mut self, target: &TargetId, since: Ms, usual_rate: f64) {
        self.recorded_warm_ups
            .push((target.clone(), since, usual_rate));
    }

    fn wake_after(&mut self, delay: Ms) {
        assert!(delay > 0.0);
    }
}
