//! What the decision module is told at its start, for use inside the tier.
//!
//! Neutral there: cold budgets, the pace after refusals, spread and noted traffic (`Tuning::spaced` is off).
//! A target of the tier refuses for itself, by a status that promises that nothing ran, and queues what it
//! can; spacing calls would hold requests that it takes.

use plankhill_decisions::interface::{
    DecisionConfig, DestinationKind, DestinationKindId, Idempotency, Ms, RetryBackoff, TrafficType,
    TrafficTypeId, Tuning,
};

use crate::admission::LAST_PRIORITY;
use crate::interface::{DispatchSettings, Repeats};

/// The only kind of destination: a service, each target with a health and a wait of its own.
pub(crate) const SERVICE: DestinationKindId = DestinationKindId(0);
/// More calls than any proxy has out: targets bound them, not slots of the proxy.
const SLOTS: usize = 1 << 20;
/// The dispatcher bounds the calls of each request itself, below this.
const SENDS_CAP: u32 = 64;
/// The first pause before a request goes again; it doubles. Half a second after a failure, as for events that
/// wait for seconds, would use up a whole objective. After what did not run, another target may have room now.
const PAUSES: RetryBackoff = RetryBackoff {
    after_failure: 40.0,
    after_rejection: 4.0,
    after_unsent: 4.0,
};
/// Farther away than any deadline: worth falls with age only past it, that is never.
const NO_AGE: Ms = 1e12;

/// The terms for a proxy with these settings.
pub(crate) fn terms(settings: &DispatchSettings, key_rest: Ms) -> DecisionConfig {
    DecisionConfig {
        seed: settings.seed,
        forwarder_count: 1.0,
        traffic_types: traffic(),
        destination_kinds: vec![DestinationKind {
            independent_routes: true,
            max_events_per_call: 1,
        }],
        max_calls_in_flight: SLOTS,
        event_capacity: settings.most_requests,
        max_attempts: SENDS_CAP,
        health_checks_allowed: true,
        warm_up_initial_share: 1.0,
        warm_up_duration: 0.0,
        overload_multiple: 1.0,
        over_quota_value_weight: 1.0,
        key_cooldown: key_rest,
        tuning: Tuning {
            retry_backoff: PAUSES,
            paces_calls: false,
            release_on_health_check_only: true,
        },
        ..DecisionConfig::default()
    }
}

/// The traffic type of a request.
pub(crate) fn traffic_of(repeats: Repeats, priority: u8) -> TrafficTypeId {
    let levels = usize::from(LAST_PRIORITY) + 1;
    let level = usize::from(priority.min(LAST_PRIORITY));
    TrafficTypeId(match repeats {
        Repeats::Allowed => level,
        Repeats::Forbidden => levels + level,
    })
}

fn traffic() -> Vec<TrafficType> {
    let of = |effect| (0..=LAST_PRIORITY).map(move |priority| traffic_type(effect, priority));
    of(Idempotency::Idempotent)
        .chain(of(Idempotency::NonIdempotent))
        .collect()
}

/// Where the room is filled, the least urgent makes way.
fn traffic_type(effect: Idempotency, priority: u8) -> TrafficType {
    TrafficType {
        idempotency: effect,
        soft_limit: NO_AGE,
        patience: NO_AGE,
        value: f64::from(LAST_PRIORITY - priority + 1),
        value_at_end: 0.0,
        ordered: true,
    }
}
