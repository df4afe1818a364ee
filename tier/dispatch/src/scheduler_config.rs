//! The decision module's configuration for use inside the tier.
//!
//! Disabled inside the tier: warm-up, pacing after rejections, spread and quotas
//! (`Tuning::paces_calls` is off). A target of the tier queues the requests that it can and rejects
//! the others itself, with a status that guarantees that nothing was executed; pacing calls would
//! delay requests that the target accepts.

use plankhill_decisions::interface::{
    DecisionConfig, DestinationKind, DestinationKindId, Idempotency as SchedulerIdempotency, Ms,
    RetryBackoff, TrafficType, TrafficTypeId, Tuning,
};

use crate::admission::LOWEST_PRIORITY;
use crate::request::Idempotency;
use crate::settings::DispatchSettings;

/// The only kind of destination: a service whose targets each have their own health and backoff.
pub(crate) const SERVICE: DestinationKindId = DestinationKindId(0);
/// More calls than any proxy has in flight: the targets limit them, not the proxy.
const MAX_CALLS_IN_FLIGHT: usize = 1 << 20;
/// Not reached: the dispatcher itself limits the attempts of each request ([`crate::retry`]) to
/// fewer.
const MAX_ATTEMPTS: u32 = 64;
/// The initial backoff before a request is sent again; the backoff doubles with each retry. Half a
/// second after a failure, as used for events that can wait for seconds, would use up a complete
/// latency target. After an attempt that was not executed, another target may have capacity now.
const RETRY_BACKOFF: RetryBackoff = RetryBackoff {
    after_failure: 40.0,
    after_rejection: 4.0,
    after_unsent: 4.0,
};
/// An age beyond any deadline: the value of a request decays with its age only beyond this age,
/// which is never reached.
const UNREACHABLE_AGE: Ms = 1e12;

/// The configuration for a proxy with these settings. `key_cooldown` is the cool-down of a session
/// after an attempt that may still be executed.
pub(crate) fn decision_config(settings: &DispatchSettings, key_cooldown: Ms) -> DecisionConfig {
    DecisionConfig {
        seed: settings.seed,
        forwarder_count: 1.0,
        traffic_types: traffic_types(),
        destination_kinds: vec![DestinationKind {
            independent_routes: true,
            max_events_per_call: 1,
        }],
        max_calls_in_flight: MAX_CALLS_IN_FLIGHT,
        event_capacity: settings.max_requests,
        max_attempts: MAX_ATTEMPTS,
        health_checks_allowed: true,
        warm_up_initial_share: 1.0,
        warm_up_duration: 0.0,
        overload_multiple: 1.0,
        over_quota_value_weight: 1.0,
        key_cooldown,
        tuning: Tuning {
            retry_backoff: RETRY_BACKOFF,
            paces_calls: false,
            release_on_health_check_only: true,
        },
        ..DecisionConfig::default()
    }
}

/// The traffic type of a request: its position in [`traffic_types`].
pub(crate) fn traffic_type_of(idempotency: Idempotency, priority: u8) -> TrafficTypeId {
    let levels = usize::from(LOWEST_PRIORITY) + 1;
    let level = usize::from(priority.min(LOWEST_PRIORITY));
    match idempotency {
        Idempotency::Idempotent => TrafficTypeId(level),
        Idempotency::NonIdempotent => TrafficTypeId(levels + level),
    }
}

/// One type for each idempotency and priority, the idempotent ones first.
fn traffic_types() -> Vec<TrafficType> {
    let mut types = Vec::new();
    for idempotency in [
        SchedulerIdempotency::Idempotent,
        SchedulerIdempotency::NonIdempotent,
    ] {
        for priority in 0..=LOWEST_PRIORITY {
            types.push(traffic_type(idempotency, priority));
        }
    }
    types
}

/// The traffic type of one idempotency and priority. Its value grows with the urgency, so that the
/// least urgent request is rejected first when the event capacity is exhausted.
fn traffic_type(idempotency: SchedulerIdempotency, priority: u8) -> TrafficType {
    TrafficType {
        idempotency,
        soft_limit: UNREACHABLE_AGE,
        time_to_deadline: UNREACHABLE_AGE,
        value: f64::from(LOWEST_PRIORITY - priority + 1),
        value_at_end: 0.0,
        ordered: true,
    }
}
