//! Every decision on when and where an event is sent, and when it is given up. Nothing here does
//! any I/O.
//!
//! A host owns one [`Scheduler`] and calls [`Scheduler::run_iteration`] once in each iteration of
//! its event loop: first everything that came in since is handed over, then the decisions go
//! straight into the host's [`Effects`]. A host is the forwarder on sockets, the simulator's
//! adapter, the emulator, or the dispatcher of the serving tier.
//!
//! The modules are the steps on an event's way:
//!
//! | module | decides |
//! | --- | --- |
//! | `admission` | what is known of an event when it is accepted; quotas of members |
//! | `endpoints` | which targets a destination has, by the endpoint list |
//! | `key_order` | which event of an order key may go |
//! | `fair_queueing` | which destination has the next turn, and which of its events can go |
//! | `target_selection` | which target a call goes to |
//! | `dispatch` | what a call carries and how long it may take |
//! | `rate_limit`, `warm_up` | how many calls a second a lane takes, after rejections and after an outage |
//! | `attempt_outcomes` | what the end of an attempt means for the event |
//! | `call_assessment` | what the end of a call means for its target and lane |
//! | `target_health`, `health_checks` | when a lane is offline, and what brings it back |
//! | `idle_connections` | when idle connections are closed |
//! | `deadlines`, `completion` | when an event is given up, and how |
//! | `load_shedding` | which events make way when the event store fills |
//! | `recovery` | what an earlier process or another forwarder did for an event |
//!
//! An iteration looks only at destinations that something came in for or is due at. Each
//! destination stands in three ordered sets (when something is due, whose turn it is, how much
//! waits); see `docs/design.md`.

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

/// The decisions of one process, and all that they rest on.
///
/// The serialized form is handed to the successor process in a hot restart, which goes on with
/// [`Scheduler::resume`]. The order of the fields is that form.
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
    /// Destinations that something came in for in this iteration.
    changed: BTreeSet<DestinationId>,
    /// When something is due at a destination.
    due: BTreeSet<(OrderedFloat, DestinationId)>,
    /// Destinations that can send now: the first is next.
    ready: BTreeSet<(TurnRank, DestinationId)>,
    /// Calls in flight to lanes that were in doubt.
    doubtful_calls_in_flight: usize,
    /// Destinations with queued events: the last is first to shed load.
    backlogs: BTreeSet<(BacklogRank, DestinationId)>,
    /// The wake-up that the host has already been asked for.
    next_wake_up: OrderedFloat,
    /// No call is sent from then on: the process ends.
    last_send_at: OrderedFloat,
    /// Complete events that are kept only until their completion is acknowledged. Counted anew from
    /// the state that is handed over, which an earlier version may have written.
    #[serde(skip)]
    unacknowledged_events: usize,
}

impl Scheduler {
    /// A scheduler that knows no target and no event yet. `now` is on the host's clock, as in all
    /// that follows.
    pub fn new(config: DecisionConfig, now: Ms) -> Self {
        let scheduler = Scheduler {
            context: Context::new(now),
            ..Scheduler::default()
        };
        scheduler.resume(config)
    }

    /// Goes on in another process. `config` has to name the same traffic types, kinds, zones and
    /// members in the same positions as that of the process before.
    pub fn resume(mut self, config: DecisionConfig) -> Self {
        self.context.set_config(config);
        let events = self
            .destinations
            .values()
            .flat_map(|destination| destination.events.values());
        self.unacknowledged_events = events.filter(|event| event.awaits_acknowledgement).count();
        self
    }

    /// One iteration of the host's event loop at the time `now`: `apply_inputs` hands over
    /// everything that came in, then the decisions are written to `effects`, in the order in which
    /// they are to be carried out.
    ///
    /// # Errors
    ///
    /// The error of `apply_inputs`, after which no decision is made.
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
            self.refile(destination);
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

    /// Everything that may be due at a destination, apart from its calls.
    fn review_destination(&mut self, id: DestinationId, effects: &mut impl Effects) {
        let Some(destination) = self.destinations.get_mut(&id) else {
            return;
        };
        destination.forget_removed_targets(&self.context, &mut self.destination_of_target);
        for event in self.events_to_complete(id) {
            self.complete(id, event, effects);
        }
        let destination = self
            .destinations
            .get_mut(&id)
            .expect("only `refile` removes a destination");
        destination.review_lanes(&mut self.context, effects);
    }

    /// Asks the host for a wake-up when the next thing is due, unless one comes before anyway.
    fn request_wake_up(&mut self, effects: &mut impl Effects) {
        let Some(&(due_at, _)) = self.due.first() else {
            return;
        };
        if due_at < self.next_wake_up {
            self.next_wake_up = due_at;
            effects.wake_after(due_at.0 - self.context.now);
        }
    }

    /// Events that are neither complete nor waiting for an acknowledgement alone.
    fn stored_event_count(&self) -> usize {
        self.event_locations.len() - self.unacknowledged_events
    }
}
