//! What an earlier process promised of an event goes on to hold, whatever the settings say of its traffic type
//! now: where they differ the event is of a type of its own, on which what is stricter of both holds. The
//! decisions know such a type by its position alone, behind those of the settings.

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{AcceptedEvent, DeliveryGuarantee, PendingEvent, RepeatSafety};
use plankhill_forwarder_config::ForwarderConfig;

/// As many types beside those of the settings: some for each that the settings ever had. Past them an event of
/// one more is ended like one of a type that nobody knows.
const MOST: usize = 64;

/// Types beside those of the settings, in the order of their positions behind them.
#[derive(Default)]
pub struct Promises(Vec<(Box<str>, TrafficType)>);

pub fn of(traffic: &TrafficType) -> DeliveryGuarantee {
    let repeats = match traffic.idempotency {
        Idempotency::Idempotent => RepeatSafety::Idempotent,
        Idempotency::Deduplicated {
            window,
            per_zone: one_zone,
        } => RepeatSafety::Deduplicated {
            window,
            per_zone: one_zone,
        },
        Idempotency::NonIdempotent => RepeatSafety::NonIdempotent,
    };
    DeliveryGuarantee {
        repeat_safety: repeats,
        ordered: traffic.ordered,
    }
}

fn effect(promise: DeliveryGuarantee) -> Idempotency {
    match promise.repeat_safety {
        RepeatSafety::Idempotent => Idempotency::Idempotent,
        RepeatSafety::Deduplicated {
            window,
            per_zone: one_zone,
        } => Idempotency::Deduplicated {
            window,
            per_zone: one_zone,
        },
        RepeatSafety::NonIdempotent => Idempotency::NonIdempotent,
    }
}

/// The position of its type where the settings promise all that was promised.
fn kept(told: &ForwarderConfig, taken: &AcceptedEvent) -> Option<TrafficTypeId> {
    let at = told
        .names
        .traffic
        .iter()
        .position(|name| *name == taken.traffic_type)?;
    let now = of(&told.decisions.traffic_types[at]);
    taken
        .guarantee
        .is_none_or(|before| before.strictest(now) == now)
        .then_some(TrafficTypeId(at))
}

/// The traffic type of an event that is owed, of which the settings do not promise all that was promised.
pub fn broken<'a>(told: &ForwarderConfig, owed: &'a [PendingEvent]) -> Option<&'a str> {
    let open = owed
        .iter()
        .filter(|owed| owed.outcome.is_none())
        .map(|owed| &owed.event);
    open.filter(|taken| kept(told, taken).is_none())
        .map(|taken| &*taken.traffic_type)
        .next()
}

impl Promises {
    /// The type of an event that an earlier process took; the decisions learn of one that is new to them.
    pub fn find(
        &mut self,
        to: &mut Scheduler,
        told: &ForwarderConfig,
        taken: &AcceptedEvent,
    ) -> Option<TrafficTypeId> {
        if let Some(at) = kept(told, taken) {
            return Some(at);
        }
        let before = taken.guarantee?;
        let names = &told.names.traffic;
        let now = names
            .iter()
            .position(|name| *name == taken.traffic_type)
            .map(|at| &told.decisions.traffic_types[at]);
        let both = now.map_or(before, |now| before.strictest(of(now)));
        let like =
            |(name, it): &(Box<str>, TrafficType)| **name == *taken.traffic_type && of(it) == both;
        let at = self.0.iter().position(like).or_else(|| {
            // Of one that the settings do not name any more nothing says what it is worth.
            let none = TrafficType {
                idempotency: Idempotency::NonIdempotent,
                soft_limit: 0.0,
                patience: 0.0,
                value: 0.0,
                value_at_end: 0.0,
                ordered: true,
            };
            let own = now.cloned().unwrap_or(none);
            let own = TrafficType {
                idempotency: effect(both),
                ordered: both.ordered,
                ..own
            };
            (self.0.len() < MOST)
                .then(|| self.0.push((taken.traffic_type.as_ref().into(), own)))?;
            *to = std::mem::take(to).resume(self.terms(told));
            Some(self.0.len() - 1)
        });
        at.map(|at| TrafficTypeId(names.len() + at))
    }

    pub fn terms(&self, told: &ForwarderConfig) -> DecisionConfig {
        let mut terms = told.decisions.clone();
        terms
            .traffic_types
            .extend(self.0.iter().map(|(_, traffic)| traffic.clone()));
        terms
    }

    /// No event was ever held of a type that is not among those of the settings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
