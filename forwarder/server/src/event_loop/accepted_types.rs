//! Traffic types of events that an earlier process accepted. The guarantee given at acceptance
//! remains valid even if the current settings differ for the traffic type: such an event gets a
//! separate type, to which the stricter parts of both guarantees apply. The scheduler identifies
//! such a type only by its position, which follows the positions of the settings' types.
//!
//! Owned by the scheduler's host.

use plankhill_decisions::interface::{DecisionConfig, Idempotency, TrafficType, TrafficTypeId};
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{AcceptedEvent, DeliveryGuarantee, PendingEvent, RepeatSafety};
use plankhill_forwarder_config::ForwarderConfig;

/// Maximum number of types in addition to those of the settings: some for each type that the
/// settings ever had. An event of a type beyond this limit ends like an event of an unknown type.
const MAX_ACCEPTED_TYPES: usize = 64;

/// A type that the settings no longer contain, or contain with a different guarantee.
struct AcceptedType {
    name: Box<str>,
    traffic_type: TrafficType,
}

/// Types in addition to those of the settings, in the order of their positions after the settings'
/// types.
#[derive(Default)]
pub struct AcceptedTypes {
    types: Vec<AcceptedType>,
}

/// The guarantee that a traffic type gives its events.
pub fn guarantee_of(traffic_type: &TrafficType) -> DeliveryGuarantee {
    let repeat_safety = match traffic_type.idempotency {
        Idempotency::Idempotent => RepeatSafety::Idempotent,
        Idempotency::Deduplicated { window, per_zone } => {
            RepeatSafety::Deduplicated { window, per_zone }
        }
        Idempotency::NonIdempotent => RepeatSafety::NonIdempotent,
    };
    DeliveryGuarantee {
        repeat_safety,
        ordered: traffic_type.ordered,
    }
}

fn idempotency_of(guarantee: DeliveryGuarantee) -> Idempotency {
    match guarantee.repeat_safety {
        RepeatSafety::Idempotent => Idempotency::Idempotent,
        RepeatSafety::Deduplicated { window, per_zone } => {
            Idempotency::Deduplicated { window, per_zone }
        }
        RepeatSafety::NonIdempotent => Idempotency::NonIdempotent,
    }
}

/// The position of the event's type in the settings, if the settings guarantee at least what was
/// guaranteed at acceptance.
fn unchanged_type(config: &ForwarderConfig, event: &AcceptedEvent) -> Option<TrafficTypeId> {
    let position = config
        .names
        .traffic
        .iter()
        .position(|name| *name == event.traffic_type)?;
    let current = guarantee_of(&config.decisions.traffic_types[position]);
    match event.guarantee {
        Some(accepted) if accepted.strictest(current) != current => None,
        _ => Some(TrafficTypeId(position)),
    }
}

/// The traffic type of the first pending event without an outcome whose guarantee the settings no
/// longer provide.
pub fn first_with_weaker_guarantee<'a>(
    config: &ForwarderConfig,
    pending: &'a [PendingEvent],
) -> Option<&'a str> {
    pending
        .iter()
        .filter(|pending| pending.outcome.is_none())
        .map(|pending| &pending.event)
        .find(|event| unchanged_type(config, event).is_none())
        .map(|event| &*event.traffic_type)
}

impl AcceptedTypes {
    /// The type of an event that an earlier process accepted. A type that is new to the scheduler
    /// is added to the scheduler's configuration. None if the type is not in the settings and the
    /// event's guarantee was not recorded, or if there are too many types.
    pub fn resolve(
        &mut self,
        scheduler: &mut Scheduler,
        config: &ForwarderConfig,
        event: &AcceptedEvent,
    ) -> Option<TrafficTypeId> {
        if let Some(unchanged) = unchanged_type(config, event) {
            return Some(unchanged);
        }
        let accepted = event.guarantee?;
        let settings = config
            .names
            .traffic
            .iter()
            .position(|name| *name == event.traffic_type);
        let current = settings.map(|position| &config.decisions.traffic_types[position]);
        let guarantee = match current {
            Some(current) => accepted.strictest(guarantee_of(current)),
            None => accepted,
        };
        let index = match self.position(&event.traffic_type, guarantee) {
            Some(index) => index,
            None => {
                let name = event.traffic_type.as_ref().into();
                let index = self.add(name, current, guarantee)?;
                *scheduler = std::mem::take(scheduler).resume(self.decision_config(config));
                index
            }
        };
        Some(TrafficTypeId(config.names.traffic.len() + index))
    }

    fn position(&self, name: &str, guarantee: DeliveryGuarantee) -> Option<usize> {
        self.types.iter().position(|accepted| {
            *accepted.name == *name && guarantee_of(&accepted.traffic_type) == guarantee
        })
    }

    /// Adds a type like `current`, but with the given guarantee. None if there are too many types.
    fn add(
        &mut self,
        name: Box<str>,
        current: Option<&TrafficType>,
        guarantee: DeliveryGuarantee,
    ) -> Option<usize> {
        if self.types.len() >= MAX_ACCEPTED_TYPES {
            return None;
        }
        // The value of an event is not known if the settings no longer contain its type.
        let base = current.cloned().unwrap_or(TrafficType {
            idempotency: Idempotency::NonIdempotent,
            soft_limit: 0.0,
            time_to_deadline: 0.0,
            value: 0.0,
            value_at_end: 0.0,
            ordered: true,
        });
        let idempotency = idempotency_of(guarantee);
        let traffic_type = TrafficType {
            idempotency,
            ordered: guarantee.ordered,
            ..base
        };
        self.types.push(AcceptedType { name, traffic_type });
        Some(self.types.len() - 1)
    }

    fn decision_config(&self, config: &ForwarderConfig) -> DecisionConfig {
        let mut decisions = config.decisions.clone();
        let accepted = self
            .types
            .iter()
            .map(|accepted| accepted.traffic_type.clone());
        decisions.traffic_types.extend(accepted);
        decisions
    }

    /// Whether no type was added to those of the settings.
    pub fn is_empty(&self) -> bool {
        self.types.is_empty()
    }
}
