//! The one fake host of the stories: a forwarder, a clock that the story sets, and its decisions as words.

#![allow(dead_code)] // each file of stories uses its part

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;

pub const RETRIABLE: TrafficTypeId = TrafficTypeId(0);
pub const FINGERPRINTED: TrafficTypeId = TrafficTypeId(1);
pub const BINDING: TrafficTypeId = TrafficTypeId(2); // ordered

pub struct Host {
    pub forwarder: Scheduler,
    pub now: Ms,
    pub notices: bool, // ends of events go as notices
    pub cold: Vec<(TargetId, Ms, f64)>,
    pub given: Ms,     // the time that the last call was given
    pub leaves_by: Ms, // and when its last byte has to have left
}

/// One forwarder of two, with 8 slots and room for 40; kind 0 shares a limit, kind 1 has routes apart and
/// takes 4 events a call.
pub fn terms() -> DecisionConfig {
    let traffic = |effect, ordered| TrafficType {
        idempotency: effect,
        soft_limit: 1000.0,
        patience: 20_000.0,
        value: 1.0,
        value_at_end: 0.2,
        ordered,
    };
    DecisionConfig {
        seed: 7,
        instance: 0,
        forwarder_count: 2.0,
        traffic_types: vec![
            traffic(Idempotency::Idempotent, false),
            traffic(
                Idempotency::Deduplicated {
                    window: 5000.0,
                    per_zone: false,
                },
                false,
            ),
            traffic(Idempotency::NonIdempotent, true),
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

pub fn plain() -> Host {
    Host::new(|_| ())
}

pub fn event(name: &str) -> EventId {
    EventId(name.into())
}

pub fn target(name: &str) -> TargetId {
    TargetId(name.into())
}

impl Host {
    /// Destination 1 has target `t`, destination 2 has target `u`, destination 3 the routes `v` and `w`.
    pub fn new(change: impl FnOnce(&mut DecisionConfig)) -> Self {
        let mut terms = terms();
        change(&mut terms);
        let mut host = Host {
            forwarder: Scheduler::new(terms, 0.0),
            now: 0.0,
            notices: false,
            cold: Vec::new(),
            given: 0.0,
            leaves_by: 0.0,
        };
        host.at(0.0, |f| {
            for (name, of, kind) in [("t", 1, 0), ("u", 2, 0), ("v", 3, 1), ("w", 3, 1)] {
                f.on_endpoint_listed(
                    target(name),
                    DestinationId(of),
                    DestinationKindId(kind),
                    ZoneId(0),
                    EndpointState::Running,
                );
            }
        });
        host
    }

    /// A round at `now`; wake-ups are left out of what it returns.
    pub fn at(&mut self, now: Ms, came_in: impl FnOnce(&mut Scheduler)) -> Vec<String> {
        self.now = now;
        let mut told = Told(
            Vec::new(),
            self.notices,
            Vec::new(),
            self.given,
            self.leaves_by,
        );
        let hand_over = |forwarder: &mut Scheduler, _: &mut Told| {
            came_in(forwarder);
            Ok::<(), UnknownId>(())
        };
        self.forwarder
            .run_iteration(now, hand_over, &mut told)
            .expect("the story names only what it introduced");
        self.cold.append(&mut told.2);
        (self.given, self.leaves_by) = (told.3, told.4);
        told.0
    }

    pub fn idle(&mut self, now: Ms) -> Vec<String> {
        self.at(now, |_| ())
    }

    /// Takes an event for a destination, with 20 s of patience.
    pub fn take(
        &mut self,
        now: Ms,
        name: &str,
        traffic: TrafficTypeId,
        of: u64,
        key: Option<u64>,
    ) -> Vec<String> {
        self.at(now, |f| {
            f.accept_event(
                event(name),
                DestinationId(of),
                traffic,
                now + 20_000.0,
                key.map(OrderKey),
            )
        })
    }

    pub fn ends(&mut self, now: Ms, name: &str, fate: AttemptOutcome) -> Vec<String> {
        self.ends_with(now, name, fate, 0.0)
    }

    pub fn ends_with(
        &mut self,
        now: Ms,
        name: &str,
        fate: AttemptOutcome,
        wait: Ms,
    ) -> Vec<String> {
        self.ends_told(now, name, fate, wait, None)
    }

    pub fn ends_told(
        &mut self,
        now: Ms,
        name: &str,
        fate: AttemptOutcome,
        wait: Ms,
        left: Option<f64>,
    ) -> Vec<String> {
        let took = if fate == AttemptOutcome::TimedOut {
            1500.0
        } else {
            100.0
        };
        self.at(now, |f| {
            f.on_attempt_ended(
                &event(name),
                AttemptReport {
                    elapsed: took,
                    retry_after: wait,
                    limit_remaining: left,
                    ..AttemptReport::from_outcome(fate)
                },
            )
            .expect("was sent")
        })
    }

    pub fn ping_ends(&mut self, now: Ms, name: &str, fate: AttemptOutcome) -> Vec<String> {
        self.at(now, |f| {
            f.on_health_check_ended(&target(name), fate)
                .expect("was listed")
        })
    }

    /// Destination 1 answers ten events a second until `until`; its usual traffic is known then.
    pub fn runs_well(&mut self, until: Ms) {
        while self.now < until {
            let (now, name) = (self.now + 100.0, format!("well{}", self.now));
            assert!(self
                .take(now, &name, RETRIABLE, 1, None)
                .contains(&format!("send {name} to t")));
            self.ends(now, &name, AttemptOutcome::Delivered);
        }
    }

    /// Destination 1 fails twice in a row and a ping goes out.
    pub fn goes_offline(&mut self, from: Ms) {
        self.take(from, "down1", FINGERPRINTED, 1, None);
        self.take(from, "down2", FINGERPRINTED, 1, None);
        self.ends(from + 1.0, "down1", AttemptOutcome::ConnectFailed);
        let told = self.ends(from + 1.0, "down2", AttemptOutcome::ConnectFailed);
        assert_eq!(told, ["ping t"]);
    }
}

pub fn sends(told: &[String]) -> usize {
    told.iter().filter(|word| word.starts_with("send")).count()
}

struct Told(Vec<String>, bool, Vec<(TargetId, Ms, f64)>, Ms, Ms);

impl Effects for Told {
    fn send_attempt(&mut self, event: &EventId, target: &TargetId, time_out: Ms, leaves_by: Ms) {
        assert!(time_out > 0.0);
        (self.3, self.4) = (time_out, leaves_by);
        self.0.push(format!("send {} to {}", event.0, target.0));
    }
    fn reject(&mut self, event: &EventId, come_back_after: Option<Ms>) -> bool {
        let _ = come_back_after;
        self.0.push(format!("dismiss {}", event.0));
        self.1
    }
    fn abandon(&mut self, event: &EventId) -> bool {
        self.0.push(format!("write off {}", event.0));
        self.1
    }
    fn health_check(&mut self, target: &TargetId) {
        self.0.push(format!("ping {}", target.0));
    }
    fn close_idle_connections(&mut self, target: &TargetId) {
        self.0.push(format!("close {}", target.0));
    }
    fn cancel_unsent(&mut self, target: &TargetId) {
        self.0.push(format!("take back {}", target.0));
    }
    fn record_warm_up(&mut self, target: &TargetId, since: Ms, usual: f64) {
        self.2.push((target.clone(), since, usual));
    }
    fn wake_after(&mut self, pause: Ms) {
        assert!(pause > 0.0);
    }
}
