//! All decisions on when and where an event is sent, and when it is completed without delivery.
//! Nothing here does any I/O.
//!
//! A host owns one [`Scheduler`] and calls [`Scheduler::run_iteration`] once in each iteration of
//! its event loop: the host passes in all inputs since the previous iteration, then the scheduler
//! writes its decisions directly to the host's [`Effects`]. A host is the forwarder on sockets, the
//! simulator adapter, the emulator, or the dispatcher of the serving tier.
//!
//! The modules, in the order in which an event passes through them:
//!
//! | module | decides |
//! | --- | --- |
//! | `admission` | the initial state of an accepted event; quotas of members |
//! | `endpoints` | the targets of a destination, by the endpoint list |
//! | `key_order` | which event of an order key may be attempted |
//! | `fair_queueing` | which destination has the next turn, and which of its events can be sent |
//! | `target_selection` | the target of a call |
//! | `dispatch` | the events and the timeout of a call |
//! | `rate_limit`, `warm_up` | the rate limit of a lane, after rejections and after an outage |
//! | `attempt_outcomes` | the effects of an attempt's outcome on its event |
//! | `call_assessment` | the effects of a call's outcome on its target and lane |
//! | `target_health`, `health_checks` | when a lane goes offline and comes back online |
//! | `idle_connections` | when idle connections are closed |
//! | `deadlines`, `completion` | when and how an event is completed without delivery |
//! | `load_shedding` | which events are shed when the event store is nearly full |
//! | `recovery` | the effects of attempts by an earlier process or another forwarder |
//!
//! An iteration visits only destinations that have new inputs or a due action. Each destination is
//! indexed in up to three ordered sets (by the time of its next action, by its rank for the next
//! turn, by its backlog); see `docs/design.md`.

mod admission;
mod attempt_outcomes;
mod call_assessment;
mod completion;
mod context;
mod deadlines;
mod dispatch;
mod endpoints;
mod fair_queueing;
mod health_checks;
mod idle_connections;
mod key_order;
mod load_shedding;
mod rate_limit;
mod recovery;
mod target_health;
mod target_selection;
mod tuning;
mod warm_up;

use std::collections::{BTreeSet, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::interface::{DecisionConfig, DestinationId, Effects, EventId, Ms, OrderKey, TargetId};
use crate::state::{
    BacklogRank, CallNumber, Destination, EventLocation, EventNumber, KeyCooldown, KeyQueue,
    OrderedFloat, TurnRank,
};
use context::Context;

/// The scheduler of one process, with all of its state.
///
/// The serialized form is passed to the successor process in a hot restart, which continues with
/// [`Scheduler::resume`]. The order of the fields is part of the format.
#[derive(Default, Serialize, Deserialize)]
pub struct Scheduler {
    context: Context,
    events_accepted: EventNumber,
    calls_sent: CallNumber,
    calls_in_flight: usize,
    destinations: HashMap<DestinationId, Box<Destination>>,
    destination_of_target: HashMap<TargetId, DestinationId>,
    event_locations: HashMap<EventId, EventLocation>,
    key_queues: HashMap<OrderKey, KeyQueue>,
    key_cooldowns: VecDeque<KeyCooldown>,
    /// Destinations with a new input or a due action in this iteration.
    changed: BTreeSet<DestinationId>,
    /// Destinations by the time of their next due action.
    due: BTreeSet<(OrderedFloat, DestinationId)>,
    /// Destinations that can send now; the first one is next.
    ready: BTreeSet<(TurnRank, DestinationId)>,
    /// Calls in flight to lanes that were in doubt when the call was sent.
    doubtful_calls_in_flight: usize,
    /// Destinations with queued events; the last one is the first to shed load.
    backlogs: BTreeSet<(BacklogRank, DestinationId)>,
    /// The time of the wake-up that was already requested from the host.
    next_wake_up: OrderedFloat,
    /// The time from which no call is sent, because the process ends.
    last_send_at: OrderedFloat,
    /// Number of complete events that are kept only until their completion is acknowledged. The
    /// number is recounted from the restored state, which an earlier version may have written.
    #[serde(skip)]
    unacknowledged_events: usize,
}

impl Scheduler {
    /// Creates a scheduler without targets and events. `now` is on the host's clock, as are all
    /// other times.
    pub fn new(config: DecisionConfig, now: Ms) -> Self {
        let scheduler = Scheduler {
            context: Context::new(now),
            ..Scheduler::default()
        };
        scheduler.resume(config)
    }

    /// Resumes a scheduler in another process. `config` has to list the same traffic types, kinds,
    /// zones and members at the same positions as the configuration of the previous process.
    pub fn resume(mut self, config: DecisionConfig) -> Self {
        self.context.set_config(config);
        let events = self
            .destinations
            .values()
            .flat_map(|destination| destination.events.values());
        self.unacknowledged_events = events.filter(|event| event.awaits_acknowledgement).count();
        self
    }

    /// Runs one iteration of the host's event loop at the time `now`: `apply_inputs` passes in all
    /// new inputs, then the decisions are written to `effects` in the order in which they have to
    /// be carried out.
    ///
    /// # Errors
    ///
    /// Returns the error of `apply_inputs`, in which case no decision is made.
    pub fn run_iteration<E, F: Effects>(
        &mut self,
        now: Ms,
        apply_inputs: impl FnOnce(&mut Self, &mut F) -> Result<(), E>,
        effects: &mut F,
    ) -> Result<(), E> {
        self.begin_iteration(now);
        apply_inputs(self, effects)?;
        self.mark_due_destinations();
        self.end_key_cooldowns();
        for destination in self.changed.iter().copied().collect::<Vec<_>>() {
            self.review_destination(destination, effects);
        }
        self.shed_load(effects);
        while let Some(destination) = self.changed.pop_first() {
            self.reindex(destination);
        }
        self.send_calls(effects);
        self.request_wake_up(effects);
        Ok(())
    }

    fn begin_iteration(&mut self, now: Ms) {
        self.context.now = now;
        let is_pending = self.next_wake_up.0 > now;
        if !is_pending {
            self.next_wake_up = OrderedFloat::INFINITY;
        }
    }

    fn mark_due_destinations(&mut self) {
        while let Some(&(due_at, destination)) = self.due.first() {
            if due_at.0 > self.context.now {
                return;
            }
            self.due.pop_first();
            self.changed.insert(destination);
        }
    }

    /// Carries out all due actions of a destination, apart from its calls.
    fn review_destination(&mut self, id: DestinationId, effects: &mut impl Effects) {
        let Some(destination) = self.destinations.get_mut(&id) else {
            return;
        };
        destination.drop_removed_targets(&self.context, &mut self.destination_of_target);
        for event in self.events_to_complete(id) {
            self.complete(id, event, effects);
        }
        let destination = self
            .destinations
            .get_mut(&id)
            .expect("only `reindex` removes a destination");
        destination.review_lanes(&mut self.context, effects);
    }

    /// Requests a wake-up from the host at the next due time, unless an earlier wake-up is pending.
    fn request_wake_up(&mut self, effects: &mut impl Effects) {
        let Some(&(due_at, _)) = self.due.first() else {
            return;
        };
        if due_at < self.next_wake_up {
            self.next_wake_up = due_at;
            effects.wake_after(due_at.0 - self.context.now);
        }
    }

    /// Returns the number of events, without those that only wait for an acknowledgement.
    fn stored_event_count(&self) -> usize {
        self.event_locations.len() - self.unacknowledged_events
    }
}
