//! Broadcasts, used if the fleet file has lists: broadcasts that clients submit are proposed to the
//! fleet's control group, and the copies that the group's log assigns to this instance are
//! submitted to the event loop like any other event. See `docs/fanout.md`.
//!
//! [`Broadcasts`] is shared by the client connections, the event loop and [`actor`], which applies
//! the log.

pub mod actor;
mod state_machine;
mod submission;
mod unsubmitted_outcomes;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use plankhill_decisions::interface::{EventId, Ms, TargetId};
use plankhill_event_log::Outcome as EventOutcome;
use plankhill_fanout::{
    copy_of, Broadcast, BroadcastId, FanoutState, Host, InstanceId, Layout, ListName,
    LocalInstance, Outcome, Position, Rejection, Subscriber,
};
use plankhill_hot_restart::{EventHeader, SubmitResponse};
use plankhill_raft_groups::Incarnation;

pub use self::state_machine::FanoutStateMachine;
use self::unsubmitted_outcomes::UnsubmittedOutcomes;
use crate::clock::Clock;
use crate::stream::Body;

/// Interval of the checks for commands to the control group, while work is pending.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Limit of control group events queued for the actor; further ones wait in the group's ring.
pub const MAX_QUEUED_GROUP_EVENTS: usize = 1024;
/// Limit of a broadcast's body, which is sent to the leader in one report.
pub const MAX_BROADCAST_BODY_BYTES: usize = 48 * 1024;
/// Time for which a target counts as parked or warming up after it was last reported so.
const TARGET_REST_TTL: Ms = 5000.0;

/// One copy of a broadcast: its subscriber, and the broadcast's position in the control group's
/// log.
pub type BroadcastCopy = (Subscriber, Position);

/// Broadcasts and copies that this instance handles.
pub struct Broadcasts {
    clock: Clock,
    layout: Layout,
    instance: RefCell<LocalInstance>,
    /// Copies in the event loop, from submission to the acknowledgement of their outcome.
    pending: RefCell<HashSet<EventId>>,
    /// Outcomes of copies whose notice is not acknowledged yet.
    outcomes: RefCell<HashMap<EventId, Outcome>>,
    /// Outcomes of copies that never were events at this instance.
    unsubmitted: RefCell<UnsubmittedOutcomes>,
    /// Subscriber that each target serves, as known from the copies sent to the target.
    subscribers: RefCell<HashMap<TargetId, Subscriber>>,
    /// Clients that wait for the decision on their broadcast, by attempt number.
    waiting_clients: RefCell<HashMap<u64, Sender<SubmitResponse>>>,
    shutting_down: Cell<bool>,
    wake: Sender<()>,
    wake_ups: Receiver<()>,
}

/// The copies pending in the event log, as the local instance queries them.
struct PendingCopies<'a>(&'a HashSet<EventId>);

impl Host for PendingCopies<'_> {
    fn is_pending(&self, event: &EventId) -> bool {
        self.0.contains(event)
    }
}

impl Broadcasts {
    pub fn new(clock: Clock, incarnation: Incarnation, layout: Layout) -> Rc<Self> {
        // The start time in microseconds numbers the processes of a state folder in ascending
        // order.
        let process = (clock.now() * 1000.0) as u64;
        let id = InstanceId(incarnation.0);
        let instance = LocalInstance::new(id, process, FanoutState::default());
        let (wake, wake_ups) = async_channel::bounded(1);
        Rc::new(Broadcasts {
            clock,
            layout,
            instance: RefCell::new(instance),
            pending: RefCell::default(),
            outcomes: RefCell::default(),
            unsubmitted: RefCell::default(),
            subscribers: RefCell::default(),
            waiting_clients: RefCell::default(),
            shutting_down: Cell::new(false),
            wake,
            wake_ups,
        })
    }

    /// Submits a broadcast; the response follows once the control group's log has the decision.
    ///
    /// # Errors
    /// Why the broadcast is rejected immediately.
    pub fn submit(
        &self,
        list: ListName,
        traffic_type: String,
        event: EventHeader,
        body: &Body,
    ) -> Result<Receiver<SubmitResponse>, Rejection> {
        if self.shutting_down.get() {
            return Err(Rejection::Full);
        }
        let now = self.clock.now();
        let broadcast = Broadcast {
            id: BroadcastId(event.id.0.to_string()),
            list,
            traffic: traffic_type,
            at: now,
            patience: event.timeout,
            key: event.key.map(|key| key.0),
            fingerprint: event.fingerprint.as_deref().map(str::to_owned),
            body: body.to_vec(),
        };
        let number = self
            .instance
            .borrow_mut()
            .submit_broadcast(now, broadcast)?;
        let (response, received) = async_channel::bounded(1);
        self.waiting_clients.borrow_mut().insert(number, response);
        self.wake_actor();
        Ok(received)
    }

    /// Rejects further broadcasts, and stops requesting copies.
    pub fn begin_shutdown(&self) {
        self.shutting_down.set(true);
    }

    /// Whether the id is that of a copy of a stored broadcast: no client may submit an event with
    /// it meanwhile.
    pub fn reserves_id(&self, event: &EventId) -> bool {
        match copy_of(event) {
            Some((broadcast, _)) => self.instance.borrow().state().is_pending(&broadcast),
            None => false,
        }
    }

    fn copy(&self, event: &EventId) -> Option<BroadcastCopy> {
        let (broadcast, subscriber) = copy_of(event)?;
        let position = self.instance.borrow().state().position(&broadcast)?;
        Some((subscriber, position))
    }

    fn is_pending(&self, event: &EventId) -> bool {
        self.pending.borrow().contains(event)
    }

    /// Handles an event that an earlier process left pending in the log.
    pub fn event_restored(&self, event: &EventId) {
        if copy_of(event).is_some() {
            self.pending.borrow_mut().insert(event.clone());
        }
    }

    /// Handles the start of an attempt of the event at the target.
    pub fn attempt_started(&self, event: &EventId, target: &TargetId) {
        let Some(copy) = self.copy(event) else {
            return;
        };
        if !self.is_pending(event) {
            return;
        }
        self.instance
            .borrow_mut()
            .on_attempt_started(self.clock.now(), copy);
        let mut subscribers = self.subscribers.borrow_mut();
        if subscribers.len() < self.layout.bounds.kept_in_all {
            subscribers.insert(target.clone(), copy.0);
        }
    }

    /// Excludes the subscriber of a parked or warming up target from lag detection for a time.
    pub fn on_target_unavailable(&self, target: &TargetId) {
        if let Some(subscriber) = self.subscribers.borrow().get(target) {
            let until = self.clock.now() + TARGET_REST_TTL;
            self.instance
                .borrow_mut()
                .exclude_from_lag(*subscriber, until);
        }
    }

    /// Handles the removal of a target from the endpoint list.
    pub fn target_removed(&self, target: &TargetId) {
        self.subscribers.borrow_mut().remove(target);
    }

    /// Handles the rejection or abandonment of an event, whose notice is to be sent.
    pub fn on_event_ended(&self, event: &EventId, outcome: EventOutcome) {
        if self.is_pending(event) {
            self.outcomes
                .borrow_mut()
                .insert(event.clone(), to_fanout_outcome(outcome));
        }
    }

    /// Handles the delivery of an event, or the acknowledgement of its outcome.
    pub fn event_completed(&self, event: &EventId, delivered: bool) {
        let was_pending = self.pending.borrow_mut().remove(event);
        let submitted = self.outcomes.borrow_mut().remove(event);
        let unsubmitted = self.unsubmitted.borrow_mut().remove(event);
        let outcome = submitted.or(unsubmitted);
        if !was_pending && outcome.is_none() {
            return;
        }
        let outcome = match delivered {
            true => Outcome::Completed,
            false => outcome.unwrap_or(Outcome::Abandoned),
        };
        if let Some(copy) = self.copy(event) {
            let now = self.clock.now();
            self.instance
                .borrow_mut()
                .on_outcome_acknowledged(now, copy, outcome);
            self.wake_actor();
        }
    }

    /// Returns once the log has the outcome of each copy of this instance. Called at shutdown.
    pub async fn wait_until_settled(&self) {
        while !self.instance.borrow().has_no_copies() {
            Timer::after(BUSY_POLL_INTERVAL).await;
        }
    }

    /// Wakes the actor; one message in the mailbox is enough.
    fn wake_actor(&self) {
        let _ = self.wake.try_send(());
    }
}

fn to_fanout_outcome(outcome: EventOutcome) -> Outcome {
    match outcome {
        EventOutcome::Rejected => Outcome::Rejected,
        EventOutcome::Abandoned => Outcome::Abandoned,
    }
}

fn to_event_outcome(outcome: Outcome) -> EventOutcome {
    match outcome {
        Outcome::Rejected => EventOutcome::Rejected,
        Outcome::Completed | Outcome::Abandoned => EventOutcome::Abandoned,
    }
}
