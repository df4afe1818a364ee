//! Applies the messages of one feeder to the subscriber's tables, without I/O: the current time is
//! an argument, and the session executes the returned [`Step`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::feed::{FromSubscriber, ToSubscriber};
use crate::ids::Revision;
use crate::tables::{Tables, TablesUpdate};

/// A feeder counts as not current when this many of its heartbeats have reported an earlier
/// revision than the subscriber's. One is tolerated, because it may have been sent just before the
/// feeder received the change.
const MAX_HEARTBEATS_BEHIND: u32 = 2;
/// The session reconnects when this many heartbeats with a later revision than the subscriber's
/// have arrived while a request is unanswered. Two are tolerated: one may have been in transit
/// already, and the next may have crossed the request.
const MAX_HEARTBEATS_BEFORE_ANSWER: u32 = 3;
/// Maximum time for which a home may lag behind the revision that the feeder has announced: about
/// ten times the delay of one additional hop, and a small part of the time within which a change
/// must reach all machines.
pub const MAX_HOME_LAG: Duration = Duration::from_millis(150);

/// The action of the session after a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The tables changed: publish them and acknowledge the revision.
    Changed,
    /// Nothing changed, and the feeder confirmed that the tables are current.
    Confirmed,
    /// Nothing changed, and the feeder did not confirm that the tables are current.
    Unconfirmed,
    /// The tables lack changes: request a snapshot.
    RequestSnapshot,
    /// The feeder advertised these feeders: store them as additional candidates.
    NewFeeders(Vec<SocketAddr>),
    /// The feeder is not current: switch to another one.
    NotCurrent,
    /// The feeder did not answer a request: reconnect.
    Reconnect,
}

/// The source of updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum UpdateSource {
    /// The feeder itself.
    #[default]
    Feeder,
    /// The home of the zone.
    Home {
        /// Time since which the home has been behind the feeder; `None` while the home is not
        /// behind.
        behind_since: Option<Instant>,
    },
}

/// A request of the subscriber that the feeder has not answered yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum PendingRequest {
    /// No request is pending.
    #[default]
    None,
    /// The subscriber requested a snapshot.
    Snapshot,
    /// The subscriber requested that the feeder resume updates.
    Updates,
}

/// The state of a subscriber on one connection to a feeder. Owned by the session.
#[derive(Debug, Default)]
pub struct Progress {
    pending: PendingRequest,
    /// Number of heartbeats with a later revision than the subscriber's that were received before
    /// the answer to the pending request.
    heartbeats_before_answer: u32,
    /// Number of heartbeats with an earlier revision than the subscriber's since the last heartbeat
    /// at its revision.
    heartbeats_behind: u32,
    source: UpdateSource,
    /// The highest revision that the feeder has announced.
    announced: Revision,
}

impl Progress {
    /// Handles a message received at `now`; an update is applied to `tables`.
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

    /// Switches to updates from the home. Returns the message that notifies the feeder. Does
    /// nothing and returns `None` if updates already come from the home, or if the feeder has
    /// announced a later revision than `held_revision`: the subscriber has to catch up first.
    pub fn follow_home(&mut self, held_revision: Revision) -> Option<FromSubscriber> {
        if self.follows_home() || self.announced > held_revision {
            return None;
        }
        self.source = UpdateSource::Home { behind_since: None };
        Some(FromSubscriber::HeartbeatsOnly)
    }

    /// Returns whether updates come from the home.
    pub fn follows_home(&self) -> bool {
        self.source != UpdateSource::Feeder
    }

    /// Handles tables received from the home; `offered` replaces `tables` if updates come from the
    /// home and `offered` is newer.
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

    /// Returns the time at which updates have to be requested from the feeder again, unless the
    /// home has caught up by then.
    pub fn home_deadline(&self) -> Option<Instant> {
        match self.source {
            UpdateSource::Feeder => None,
            UpdateSource::Home { behind_since } => behind_since.map(|since| since + MAX_HOME_LAG),
        }
    }

    /// Switches to updates from the feeder. Returns the message that notifies the feeder; `None` if
    /// updates already come from the feeder.
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

    /// Handles the announcement of a later revision than the subscriber's.
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
