//! What an earlier process promised of an event goes on to hold, whatever the settings say of its traffic type
//! now: where they differ the event is of a type of its own, on which what is stricter of both holds. The
//! decisions know such a type by its position alone, behind those of the settings.

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{Owed, Promise, Repeats, Taken};
use plankhill_forwarder_config::Told;

/// As many types beside those of the settings: some for each that the settings ever had. Past them an event of
/// one more is ended like one of a type that nobody knows.
const MOST: usize = 64;

/// Types beside those of the settings, in the order of their positions behind them.
#[derive(Default)]
pub struct Promises(Vec<(Box<str>, TrafficType)>);

pub fn of(traffic: &TrafficType) -> Promise {
    let repeats = match traffic.idempotency {
        Idempotency::Idempotent => Repeats::Harmless,
        Idempotency::Deduplicated {
            window,
            per_zone: one_zone,
        } => Repeats::Known { window, one_zone },
        Idempotency::NonIdempotent => Repeats::Forbidden,
    };
    Promise {
        repeats,
        ordered: traffic.ordered,
    }
}

fn effect(promise: Promise) -> Idempotency {
    match promise.repeats {
        Repeats::Harmless => Idempotency::Idempotent,
        Repeats::Known { window, one_zone } => Idempotency::Deduplicated {
            window,
            per_zone: one_zone,
        },
        Repeats::Forbidden => Idempotency::NonIdempotent,
    }
}

/// The position of its type where the settings promise all that was promised.
fn kept(told: &Told, taken: &Taken) -> Option<TrafficTypeId> {
    let at = told
        .names
        .traffic
        .iter()
        .position(|name| *name == taken.traffic)?;
    let now = of(&told.terms.traffic_types[at]);
    taken
        .promised
        .is_none_or(|before| before.and(now) == now)
        .then_some(TrafficTypeId(at))
}

/// The traffic type of an event that is owed, of which the settings do not promise all that was promised.
pub fn broken<'a>(told: &Told, owed: &'a [Owed]) -> Option<&'a str> {
    let open = owed
        .iter()
        .filter(|owed| owed.ended.is_none())
        .map(|owed| &owed.taken);
    open.filter(|taken| kept(told, taken).is_none())
        .map(|taken| &*taken.traffic)
        .next()
}

impl Promises {
    /// The type of an event that an earlier process took; the decisions learn of one that is new to them.
    pub fn find(
        &mut self,
        to: &mut Scheduler,
        told: &Told,
        taken: &Taken,
    ) -> Option<TrafficTypeId> {
        if let Some(at) = kept(told, taken) {
            return Some(at);
        }
        let before = taken.promised?;
        let names = &told.names.traffic;
        let now = names
            .iter()
            .position(|name| *name == taken.traffic)
            .map(|at| &told.terms.traffic_types[at]);
        let both = now.map_or(before, |now| before.and(of(now)));
        let like =
            |(name, it): &(Box<str>, TrafficType)| **name == *taken.traffic && of(it) == both;
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
            (self.0.len() < MOST).then(|| self.0.push((taken.traffic.as_ref().into(), own)))?;
            *to = std::mem::take(to).resume(self.terms(told));
            Some(self.0.len() - 1)
        });
        at.map(|at| TrafficTypeId(names.len() + at))
    }

    pub fn terms(&self, told: &Told) -> DecisionConfig {
        let mut terms = told.terms.clone();
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
