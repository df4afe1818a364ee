//! What the decision module is told at its start, for use inside the tier.
//!
//! Neutral there: cold budgets, the pace after refusals, spread and noted traffic (`Tuning::spaced` is off).
//! A target of the tier refuses for itself, by a status that promises that nothing ran, and queues what it
//! can; spacing calls would hold requests that it takes.

use plankhill_decisions::interface::{
    DestinationKind, Effect, KindId, Ms, RetryPauses, Terms, TrafficId, TrafficType, Tuning,
};

use crate::admission::LAST_PRIORITY;
use crate::interface::{DispatchSettings, Repeats};

/// The only kind of destination: a service, each target with a health and a wait of its own.
pub(crate) const SERVICE: KindId = KindId(0);
/// More calls than any proxy has out: targets bound them, not slots of the proxy.
const SLOTS: usize = 1 << 20;
/// The dispatcher bounds the calls of each request itself, below this.
const SENDS_CAP: u32 = 64;
/// The first pause before a request goes again; it doubles. Half a second after a failure, as for events that
/// wait for seconds, would use up a whole objective. After what did not run, another target may have room now.
const PAUSES: RetryPauses = RetryPauses {
    failed: 40.0,
    refused: 4.0,
    unsent: 4.0,
};
/// Farther away than any deadline: worth falls with age only past it, that is never.
const NO_AGE: Ms = 1e12;

/// The terms for a proxy with these settings.
pub(crate) fn terms(settings: &DispatchSettings, key_rest: Ms) -> Terms {
    Terms {
        seed: settings.seed,
        forwarders: 1.0,
        traffic: traffic(),
        kinds: vec![DestinationKind {
            routes_apart: true,
            events_per_call: 1,
        }],
        slots: SLOTS,
        room: settings.most_requests,
        sends_cap: SENDS_CAP,
        pings_allowed: true,
        cold_share: 1.0,
        warm_after: 0.0,
        tip_multiple: 1.0,
        over_share_worth: 1.0,
        key_rest,
        tuning: Tuning {
            pauses: PAUSES,
            spaced: false,
            released_by_pings: true,
        },
        ..Terms::default()
    }
}

/// The traffic type of a request.
pub(crate) fn traffic_of(repeats: Repeats, priority: u8) -> TrafficId {
    let levels = usize::from(LAST_PRIORITY) + 1;
    let level = usize::from(priority.min(LAST_PRIORITY));
    TrafficId(match repeats {
        Repeats::Allowed => level,
        Repeats::Forbidden => levels + level,
    })
}

fn traffic() -> Vec<TrafficType> {
    let of = |effect| (0..=LAST_PRIORITY).map(move |priority| traffic_type(effect, priority));
    of(Effect::Retriable).chain(of(Effect::Binding)).collect()
}

/// Where the room is filled, the least urgent makes way.
fn traffic_type(effect: Effect, priority: u8) -> TrafficType {
    TrafficType {
        effect,
        soft_limit: NO_AGE,
        patience: NO_AGE,
        payoff: f64::from(LAST_PRIORITY - priority + 1),
        payoff_at_end: 0.0,
        ordered: true,
    }
}
