//! What the messages of one feeder mean for the subscriber's tables. Decisions without I/O: time is
//! passed in, and the session does what the returned [`Step`] says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::feed::{FromSubscriber, ToSubscriber};
use crate::ids::Revision;
use crate::tables::{Tables, TablesUpdate};

/// Heartbeats in a row by which a feeder may be behind the subscriber: one may just have overtaken
/// the change.
const MAX_HEARTBEATS_BEHIND: u32 = 2;
/// Heartbeats that may come before the answer to a request: one may have been under way, the next
/// may have crossed the request.
const MAX_HEARTBEATS_BEFORE_ANSWER: u32 = 3;
/// How long a home may lag behind the revision that the feeder has announced: some ten times the
/// way over one more machine, and a small part of the time within which a change must have spread.
pub const MAX_HOME_LAG: Duration = Duration::from_millis(150);

/// What the session has to do after one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The tables changed: publish them and acknowledge the revision.
    Changed,
    /// Nothing changed. The tables are at the newest revision that the feeder has confirmed.
    Confirmed,
    /// Nothing changed, and the feeder did not confirm that the tables are current.
    Unconfirmed,
    /// An update did not continue the tables: request a snapshot.
    RequestSnapshot,
    /// Remember these feeders as further candidates.
    NewFeeders(Vec<SocketAddr>),
    /// The feeder is not current: go to another one.
    NotCurrent,
    /// The answer to a request did not come: connect anew.
    Reconnect,
}

/// Where updates come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum UpdateSource {
    /// The feeder itself.
    #[default]
    Feeder,
    /// The home of the zone.
    Home {
        /// Since when the home has been behind the feeder; `None` while it is not.
        behind_since: Option<Instant>,
    },
}

/// A request of the subscriber whose answer has not come yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum PendingRequest {
    /// The feeder owes no answer.
    #[default]
    None,
    /// The feeder was asked for a snapshot.
    Snapshot,
    /// The feeder was asked to send updates again.
    Updates,
}

/// A subscriber's progress over one connection to a feeder. Owned by the session.
#[derive(Debug, Default)]
pub struct Progress {
    pending: PendingRequest,
    /// Heartbeats that came before the answer to the pending request.
    heartbeats_before_answer: u32,
    /// Heartbeats in a row that were behind the subscriber.
    heartbeats_behind: u32,
    source: UpdateSource,
    /// The highest revision that the feeder has announced.
    announced: Revision,
}

impl Progress {
    /// Takes a message that came at `now`; applies an update to `tables`.
    pub fn on_message(
        &mut self,
        message: ToSubscriber,
        tables: &mut Arc<Tables>,
        now: Instant,
    ) -> Step {
        match message {
            ToSubscriber::Update(update) => self.on_update(update, tables, now),
            ToSubscriber::Heartbeat { revision, current } => {
                self.on_heartbeat(revision, current, tables.revision, now)
            }
            ToSubscriber::Controllers(addresses) => Step::NewFeeders(addresses),
        }
    }

    /// Takes updates from the home from now on. Returns the message that notifies the feeder;
    /// `None` if updates already come from the home, or if the feeder has announced more than
    /// `held_revision`: the subscriber has to catch up first.
    pub fn follow_home(&mut self, held_revision: Revision) -> Option<FromSubscriber> {
        if self.follows_home() || self.announced > held_revision {
            return None;
        }
        self.source = UpdateSource::Home { behind_since: None };
        Some(FromSubscriber::HeartbeatsOnly)
    }

    /// Whether updates come from the home.
    pub fn follows_home(&self) -> bool {
        self.source != UpdateSource::Feeder
    }

    /// Takes tables that the home sent; they replace `tables` if updates come from the home and
    /// they are newer.
    pub fn on_offer(&mut self, offered: Arc<Tables>, tables: &mut Arc<Tables>) -> Step {
        if !self.follows_home() || offered.revision <= tables.revision {
            return Step::Unconfirmed;
        }
        *tables = offered;
        if tables.revision >= self.announced {
            self.source = UpdateSource::Home { behind_since: None };
        }
        Step::Changed
    }

    /// When the feeder has to be asked for updates again, unless the home has caught up by then.
    pub fn home_deadline(&self) -> Option<Instant> {
        match self.source {
            UpdateSource::Feeder => None,
            UpdateSource::Home { behind_since } => behind_since.map(|since| since + MAX_HOME_LAG),
        }
    }

    /// Takes updates from the feeder from now on. Returns the message that notifies the feeder;
    /// `None` if they already come from the feeder.
    pub fn follow_feeder(&mut self, held_revision: Revision) -> Option<FromSubscriber> {
        let followed_home = self.follows_home();
        self.source = UpdateSource::Feeder;
        if !followed_home {
            self.pending = PendingRequest::None;
            return None;
        }
        self.pending = PendingRequest::Updates;
        Some(FromSubscriber::ResumeUpdates { held_revision })
    }

    fn on_update(&mut self, update: TablesUpdate, tables: &mut Arc<Tables>, now: Instant) -> Step {
        let before = tables.revision;
        if Arc::make_mut(tables).apply(update).is_err() {
            return match self.source {
                UpdateSource::Home { .. } => self.on_announced_ahead(now),
                UpdateSource::Feeder => self.request_snapshot_once(),
            };
        }
        self.pending = PendingRequest::None;
        self.heartbeats_before_answer = 0;
        if tables.revision == before {
            Step::Unconfirmed
        } else {
            Step::Changed
        }
    }

    fn on_heartbeat(
        &mut self,
        revision: Revision,
        current: bool,
        held_revision: Revision,
        now: Instant,
    ) -> Step {
        self.announced = self.announced.max(revision);
        if !current {
            return Step::NotCurrent;
        }
        if revision > held_revision {
            return self.on_announced_ahead(now);
        }
        if revision == held_revision {
            self.heartbeats_behind = 0;
            return Step::Confirmed;
        }
        self.heartbeats_behind += 1;
        if self.heartbeats_behind < MAX_HEARTBEATS_BEHIND {
            Step::Unconfirmed
        } else {
            Step::NotCurrent
        }
    }

    /// The feeder has announced a later revision than the subscriber's.
    fn on_announced_ahead(&mut self, now: Instant) -> Step {
        if let UpdateSource::Home { behind_since } = &mut self.source {
            behind_since.get_or_insert(now);
            return Step::Unconfirmed;
        }
        if self.pending == PendingRequest::None {
            return self.request_snapshot_once();
        }
        self.heartbeats_before_answer += 1;
        if self.heartbeats_before_answer < MAX_HEARTBEATS_BEFORE_ANSWER {
            Step::Unconfirmed
        } else {
            Step::Reconnect
        }
    }

    fn request_snapshot_once(&mut self) -> Step {
        if self.pending == PendingRequest::Snapshot {
            return Step::Unconfirmed;
        }
        self.pending = PendingRequest::Snapshot;
        Step::RequestSnapshot
    }
}
