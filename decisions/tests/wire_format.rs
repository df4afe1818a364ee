//! The encoded form of this package's types in a hot restart: ids, reports and the state of the
//! scheduler. Both processes of a hot restart use MessagePack with structs as arrays (positions are
//! the format, field names are not) and enum variants by name (variant names are the format).
//!
//! The expected bytes are fixtures that an earlier version wrote. Tests never rewrite a fixture.

mod host;

use host::{event, target};
use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DecisionConfig, DestinationId, DestinationKindId, Effects,
    EndpointState, EventId, Ms, OrderKey, TargetId, TrafficTypeId, UnknownId, ZoneId,
};
use plankhill_decisions::scheduler::Scheduler;
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::Serialize;

const VALUES: &str = include_str!("wire_format/values.txt");
const STATES: &str = include_str!("wire_format/states.txt");

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digit =
        |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("the fixture is hexadecimal");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// Returns the bytes that the fixture has under a name.
fn expected(fixture: &str, name: &str) -> String {
    let line = fixture
        .lines()
        .find(|line| line.split(' ').next() == Some(name));
    let line = line.unwrap_or_else(|| panic!("{name} is not in the fixture"));
    line.split(' ')
        .nth(1)
        .expect("a line has a name and bytes")
        .to_owned()
}

fn assert_pinned<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    let fixture = expected(VALUES, name);
    assert_eq!(
        to_hex(&rmp_serde::to_vec(value).expect("encodes")),
        fixture,
        "{name} encodes differently"
    );
    let decoded: T = rmp_serde::from_slice(&from_hex(&fixture)).expect("the fixture decodes");
    assert_eq!(
        to_hex(&rmp_serde::to_vec(&decoded).expect("encodes")),
        fixture,
        "{name} decodes differently"
    );
}

/// Returns the name of each variant in the fixture. There is no wildcard, so that a new variant
/// does not compile without an entry here.
fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Delivered => "Fate::Delivered",
        AttemptOutcome::Error => "Fate::Error",
        AttemptOutcome::Rejected => "Fate::Full",
        AttemptOutcome::TimedOut => "Fate::TimedOut",
        AttemptOutcome::ConnectFailed => "Fate::NoConnection",
        AttemptOutcome::Reset => "Fate::Reset",
        AttemptOutcome::Cancelled => "Fate::Cancelled",
        AttemptOutcome::NotSent => "Fate::NotSent",
    }
}

fn endpoint_state_name(endpoint_state: EndpointState) -> &'static str {
    match endpoint_state {
        EndpointState::Running => "Listing::Running",
        EndpointState::Draining => "Listing::Leaving",
        EndpointState::Removed => "Listing::Gone",
    }
}

const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Delivered,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

#[rstest]
fn ids_have_the_pinned_form() {
    assert_pinned("EventId", &event("evt-7"));
    assert_pinned("TargetId", &target("target-9"));
    assert_pinned("DestinationId", &DestinationId(70_000));
    assert_pinned("OrderKey", &OrderKey(u64::MAX - 1));
    assert_pinned("TrafficId", &TrafficTypeId(3));
    assert_pinned("KindId", &DestinationKindId(2));
    assert_pinned("ZoneId", &ZoneId(4));
    assert_pinned("ZoneId::UNKNOWN", &ZoneId::UNKNOWN);
}

#[rstest]
fn outcomes_have_the_pinned_form() {
    for outcome in OUTCOMES {
        assert_pinned(outcome_name(outcome), &outcome);
    }
}

#[rstest]
fn endpoint_states_have_the_pinned_form() {
    for endpoint_state in [
        EndpointState::Running,
        EndpointState::Draining,
        EndpointState::Removed,
    ] {
        assert_pinned(endpoint_state_name(endpoint_state), &endpoint_state);
    }
}

#[rstest]
fn reports_have_the_pinned_form() {
    let full = AttemptReport {
        outcome: AttemptOutcome::Rejected,
        elapsed: 12.5,
        event_complete: true,
        retry_after: 250.25,
        limit_remaining: Some(0.75),
    };
    assert_pinned("Ended", &full);
    assert_pinned(
        "Ended::plain",
        &AttemptReport::from_outcome(AttemptOutcome::Delivered),
    );
}

/// Configuration in which the state has only one entry in each unordered map, so that its bytes
/// have one order.
fn config() -> DecisionConfig {
    let mut config = host::config();
    for traffic in &mut config.traffic_types {
        traffic.ordered = true;
    }
    config.member_quotas = vec![0.5];
    config
}

fn accept(scheduler: &mut Scheduler, name: &str, traffic: TrafficTypeId) {
    scheduler.accept_event(
        event(name),
        DestinationId(7),
        traffic,
        20_000.0,
        Some(OrderKey(5)),
    );
}

fn end_attempt(scheduler: &mut Scheduler, name: &str, ended: AttemptReport) {
    scheduler
        .on_attempt_ended(&event(name), ended)
        .expect("was sent");
}

/// Name, time and inputs of one iteration of the scenario. The state after the iteration is in the
/// fixture by this name, except for `UNPINNED`, where an unordered map in the state has two events.
type Step = (&'static str, Ms, fn(&mut Scheduler));

const UNPINNED: &str = "unpinned";

const SCENARIO: [Step; 26] = [
    ("listed", 100.0, |scheduler| {
        scheduler.on_endpoint_listed(
            target("t"),
            DestinationId(7),
            DestinationKindId(1),
            ZoneId(3),
            EndpointState::Running,
        );
        scheduler.set_advertised_rate(DestinationId(7), 12.5);
    }),
    ("in-flight", 200.0, |scheduler| {
        accept(scheduler, "a", TrafficTypeId(1))
    }),
    ("failed", 250.0, |scheduler| {
        end_attempt(
            scheduler,
            "a",
            AttemptReport {
                elapsed: 50.0,
                ..AttemptReport::from_outcome(AttemptOutcome::Error)
            },
        )
    }),
    ("retried", 900.0, |_| ()),
    ("ejected", 1000.0, |scheduler| {
        end_attempt(
            scheduler,
            "a",
            AttemptReport {
                elapsed: 100.0,
                ..AttemptReport::from_outcome(AttemptOutcome::ConnectFailed)
            },
        )
    }),
    ("health-checked", 1100.0, |scheduler| {
        scheduler
            .on_health_check_ended(&target("t"), AttemptOutcome::ConnectFailed)
            .expect("was listed")
    }),
    ("released", 2600.0, |scheduler| {
        scheduler
            .on_health_check_ended(&target("t"), AttemptOutcome::Delivered)
            .expect("was listed")
    }),
    ("warming-up", 4500.0, |_| ()),
    ("reset", 4600.0, |scheduler| {
        end_attempt(
            scheduler,
            "a",
            AttemptReport {
                elapsed: 100.0,
                ..AttemptReport::from_outcome(AttemptOutcome::Reset)
            },
        )
    }),
    ("completed", 9000.0, |scheduler| {
        scheduler.on_completion_acknowledged(&event("a"))
    }),
    ("accepted-again", 9100.0, |scheduler| {
        accept(scheduler, "b", TrafficTypeId(0));
        scheduler.restore_attempts(&event("b"), 0, None, false);
    }),
    ("charged", 9200.0, |scheduler| {
        scheduler.charge_member(&event("b"), 0, false)
    }),
    ("over-quota", 9300.0, |scheduler| {
        for _ in 0..8 {
            scheduler.charge_member(&event("b"), 0, false);
        }
    }),
    (UNPINNED, 13_000.0, |scheduler| {
        scheduler.withdraw_event(&event("b"));
        end_attempt(
            scheduler,
            "b",
            AttemptReport {
                elapsed: 3500.0,
                ..AttemptReport::from_outcome(AttemptOutcome::Cancelled)
            },
        );
        scheduler.accept_event(
            event("d"),
            DestinationId(7),
            TrafficTypeId(0),
            33_000.0,
            None,
        );
        scheduler.accept_event(
            event("e"),
            DestinationId(7),
            TrafficTypeId(0),
            33_000.0,
            None,
        );
    }),
    ("half-delivered", 13_100.0, |scheduler| {
        end_attempt(
            scheduler,
            "d",
            AttemptReport {
                elapsed: 100.0,
                ..AttemptReport::from_outcome(AttemptOutcome::Delivered)
            },
        )
    }),
    ("delivered", 13_250.0, |scheduler| {
        end_attempt(
            scheduler,
            "e",
            AttemptReport {
                elapsed: 200.0,
                ..AttemptReport::from_outcome(AttemptOutcome::Delivered)
            },
        )
    }),
    ("cooled-down", 30_000.0, |_| ()),
    ("accepted-non-idempotent", 40_000.0, |scheduler| {
        scheduler.accept_event(
            event("c"),
            DestinationId(7),
            TrafficTypeId(2),
            90_000.0,
            Some(OrderKey(6)),
        );
    }),
    ("rejected-by-target", 40_100.0, |scheduler| {
        let report = AttemptReport {
            elapsed: 10.0,
            retry_after: 3000.0,
            limit_remaining: Some(0.75),
            ..AttemptReport::from_outcome(AttemptOutcome::Rejected)
        };
        end_attempt(scheduler, "c", report);
    }),
    ("paced", 44_000.0, |_| ()),
    ("idle-connection", 44_100.0, |scheduler| {
        end_attempt(
            scheduler,
            "c",
            AttemptReport {
                elapsed: 90.0,
                ..AttemptReport::from_outcome(AttemptOutcome::NotSent)
            },
        )
    }),
    ("draining", 44_200.0, |scheduler| {
        scheduler.set_endpoint_state(&target("t"), EndpointState::Draining)
    }),
    ("shutdown", 44_300.0, |scheduler| {
        scheduler.defer_for_remote_attempt(&event("c"), 50_000.0);
        scheduler.merge_remote_attempts(&event("c"), 2, Some((39_000.0, ZoneId(1))));
        scheduler.begin_shutdown(60_000.0);
    }),
    ("acknowledged", 58_000.0, |scheduler| {
        scheduler.on_completion_acknowledged(&event("c"));
        scheduler.set_endpoint_state(&target("t"), EndpointState::Running);
    }),
    ("too-late-to-send", 59_000.0, |scheduler| {
        scheduler.accept_event(
            event("f"),
            DestinationId(7),
            TrafficTypeId(0),
            90_000.0,
            None,
        );
        scheduler.restore_attempts(&event("f"), 0, None, false);
    }),
    ("without-targets", 59_900.0, |scheduler| {
        scheduler.withdraw_event(&event("f"));
        scheduler.set_endpoint_state(&target("t"), EndpointState::Removed);
    }),
];

/// Sends every completion as a notification that has to be acknowledged, and ignores all other
/// decisions.
struct NotifyingEffects;

impl Effects for NotifyingEffects {
    fn send_attempt(&mut self, _: &EventId, _: &TargetId, _: Ms, _: Ms) {}
    fn reject(&mut self, _: &EventId, _: Option<Ms>) -> bool {
        true
    }
    fn abandon(&mut self, _: &EventId) -> bool {
        true
    }
    fn health_check(&mut self, _: &TargetId) {}
    fn close_idle_connections(&mut self, _: &TargetId) {}
    fn cancel_unsent(&mut self, _: &TargetId) {}
    fn record_warm_up(&mut self, _: &TargetId, _: Ms, _: f64) {}
    fn wake_after(&mut self, _: Ms) {}
}

fn run_step(scheduler: &mut Scheduler, (_, now, inputs): Step) {
    let apply_inputs = |scheduler: &mut Scheduler, _: &mut NotifyingEffects| {
        inputs(scheduler);
        Ok::<(), UnknownId>(())
    };
    scheduler
        .run_iteration(now, apply_inputs, &mut NotifyingEffects)
        .expect("the scenario refers only to known ids");
}

fn state(scheduler: &Scheduler) -> String {
    to_hex(&rmp_serde::to_vec(scheduler).expect("encodes"))
}

#[rstest]
fn the_state_has_the_pinned_form_at_each_step_of_the_scenario() {
    let mut scheduler = Scheduler::new(config(), 50.0);
    for step in SCENARIO {
        run_step(&mut scheduler, step);
        if step.0 != UNPINNED {
            assert_eq!(
                state(&scheduler),
                expected(STATES, step.0),
                "the state when {}",
                step.0
            );
        }
    }
}

/// Each pinned state is resumed and encodes to the same bytes, and the scenario leads from it to
/// the next pinned state.
#[rstest]
fn a_pinned_state_is_resumed_and_leads_to_the_next_one() {
    for (at, step) in SCENARIO
        .iter()
        .enumerate()
        .filter(|(_, step)| step.0 != UNPINNED)
    {
        let pinned = expected(STATES, step.0);
        let decoded: Scheduler =
            rmp_serde::from_slice(&from_hex(&pinned)).expect("the fixture decodes");
        let mut scheduler = decoded.resume(config());
        assert_eq!(
            state(&scheduler),
            pinned,
            "the state when {}, decoded",
            step.0
        );
        for next in &SCENARIO[at + 1..] {
            run_step(&mut scheduler, *next);
            if next.0 != UNPINNED {
                assert_eq!(
                    state(&scheduler),
                    expected(STATES, next.0),
                    "from {} to {}",
                    step.0,
                    next.0
                );
                break;
            }
        }
    }
}
