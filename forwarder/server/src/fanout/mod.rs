//! Broadcasts, where the fleet file has lists: what clients hand in goes to the fleet's control group, and
//! copies that its log hands to this instance come into the rounds like any other event. `docs/fanout.md`.

pub mod actor;
mod handing;
mod machine;
mod telling;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use plankhill_decisions::interface::*;
use plankhill_event_log::Outcome as End;
use plankhill_fanout::{
    copy_of, Broadcast, BroadcastId, FanoutState, InstanceId, Layout, ListName,
};
use plankhill_fanout::{Host, LocalInstance, Outcome, Position, Rejection, Subscriber};
use plankhill_hot_restart::{Event, Verdict};
use plankhill_raft_groups::Incarnation;

pub use self::machine::Control;
use crate::clock::Clock;
use crate::exchange::Body;

/// Between looks at what is to be asked, while there is something.
const BUSY: Duration = Duration::from_millis(20);
/// News of the control group that wait for the actor; more wait in the fleet's ring.
pub const MAILBOX: usize = 1024;
/// The longest body of a broadcast, in bytes: it goes to the leader in one report.
pub const LONGEST_BODY: usize = 48 * 1024;
/// A parked or cold target is told as at rest for so long after its last sign, in ms.
const RESTS: Ms = 5000.0;

pub type Copy = (Subscriber, Position);

/// This instance's part in broadcasts.
pub struct FanOut {
    clock: Clock,
    layout: Layout,
    station: RefCell<LocalInstance>,
    /// Copies that the rounds have, from handing in to the end that was heard.
    owed: RefCell<HashSet<EventId>>,
    /// How copies ended whose notice is on its way.
    ends: RefCell<HashMap<EventId, Outcome>>,
    /// Ends of copies that were never events here.
    telling: RefCell<telling::Telling>,
    /// Which subscriber a target serves, as copies were sent there.
    serves: RefCell<HashMap<TargetId, Subscriber>>,
    /// Clients that wait to hear whether their broadcast counts.
    waiting: RefCell<HashMap<u64, Sender<Verdict>>>,
    /// Whether more is to be handed in: not once the process closes.
    pub closing: Cell<bool>,
    bell: (Sender<()>, Receiver<()>),
}

/// What the ledger owes, for the station.
struct Owed<'a>(&'a HashSet<EventId>);

impl Host for Owed<'_> {
    fn is_pending(&self, event: &EventId) -> bool {
        self.0.contains(event)
    }
}

impl FanOut {
    pub fn new(clock: Clock, me: Incarnation, layout: Layout) -> Rc<Self> {
        // Microseconds grow from process to process of a folder.
        let process = (clock.now() * 1000.0) as u64;
        let station = LocalInstance::new(InstanceId(me.0), process, FanoutState::default());
        Rc::new(FanOut {
            clock,
            layout,
            station: RefCell::new(station),
            owed: RefCell::default(),
            ends: RefCell::default(),
            telling: RefCell::default(),
            serves: RefCell::default(),
            waiting: RefCell::default(),
            closing: Cell::new(false),
            bell: async_channel::bounded(1),
        })
    }

    /// Hands in a broadcast; the verdict follows once the log has decided.
    pub fn post(
        &self,
        list: ListName,
        traffic: String,
        event: Event,
        body: &Body,
    ) -> Result<Receiver<Verdict>, Rejection> {
        if self.closing.get() {
            return Err(Rejection::Full);
        }
        let now = self.clock.now();
        let broadcast = Broadcast {
            id: BroadcastId(event.id.0.to_string()),
            list,
            traffic,
            at: now,
            patience: event.patience,
            key: event.key.map(|key| key.0),
            fingerprint: event.fingerprint.as_deref().map(str::to_owned),
            body: body.to_vec(),
        };
        let number = self.station.borrow_mut().attempt(now, broadcast)?;
        let (answer, verdict) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(number, answer);
        self.rings();
        Ok(verdict)
    }

    /// Whether the id is that of a copy: no client may hand in an event under it meanwhile.
    pub fn bars(&self, event: &EventId) -> bool {
        copy_of(event)
            .is_some_and(|(broadcast, _)| self.station.borrow().state().is_kept(&broadcast))
    }

    fn copy(&self, event: &EventId) -> Option<Copy> {
        let (broadcast, subscriber) = copy_of(event)?;
        let position = self.station.borrow().state().position(&broadcast)?;
        Some((subscriber, position))
    }

    fn is_owed(&self, event: &EventId) -> bool {
        self.owed.borrow().contains(event)
    }

    /// The ledger owes the event since an earlier process.
    pub fn restored(&self, event: &EventId) {
        if copy_of(event).is_some() {
            self.owed.borrow_mut().insert(event.clone());
        }
    }

    /// A call of the event goes to the target.
    pub fn sends(&self, event: &EventId, target: &TargetId) {
        let Some(copy) = self.copy(event).filter(|_| self.is_owed(event)) else {
            return;
        };
        self.station
            .borrow_mut()
            .on_attempt_started(self.clock.now(), copy);
        let mut serves = self.serves.borrow_mut();
        if serves.len() < self.layout.bounds.kept_in_all {
            serves.insert(target.clone(), copy.0);
        }
    }

    /// The target is parked or cold: its subscriber is not slow for that.
    pub fn rests(&self, target: &TargetId) {
        if let Some(subscriber) = self.serves.borrow().get(target) {
            self.station
                .borrow_mut()
                .exclude_from_lag(*subscriber, self.clock.now() + RESTS);
        }
    }

    /// The list has the target no more.
    pub fn gone(&self, target: &TargetId) {
        self.serves.borrow_mut().remove(target);
    }

    /// The event was given up; its notice goes out.
    pub fn ended(&self, event: &EventId, outcome: End) {
        if self.is_owed(event) {
            self.ends
                .borrow_mut()
                .insert(event.clone(), outcome_of(outcome));
        }
    }

    /// The event was delivered, or its end was heard.
    pub fn over(&self, event: &EventId, delivered: bool) {
        let owed = self.owed.borrow_mut().remove(event);
        let known = self
            .ends
            .borrow_mut()
            .remove(event)
            .or(self.telling.borrow_mut().heard(event));
        if !owed && known.is_none() {
            return;
        }
        let outcome = if delivered {
            Outcome::Completed
        } else {
            known.unwrap_or(Outcome::Abandoned)
        };
        if let Some(copy) = self.copy(event) {
            self.station
                .borrow_mut()
                .on_outcome_acknowledged(self.clock.now(), copy, outcome);
            self.rings();
        }
    }

    /// Returns once the log has the end of each copy that was here: as the process ends.
    pub async fn settled(&self) {
        while !self.station.borrow().is_settled() {
            Timer::after(BUSY).await;
        }
    }

    fn rings(&self) {
        // One word in the mailbox is enough.
        let _ = self.bell.0.try_send(());
    }
}

fn outcome_of(end: End) -> Outcome {
    match end {
        End::Rejected => Outcome::Rejected,
        End::Abandoned => Outcome::Abandoned,
    }
}

fn end_of(outcome: Outcome) -> End {
    match outcome {
        Outcome::Rejected => End::Rejected,
        Outcome::Completed | Outcome::Abandoned => End::Abandoned,
    }
}
