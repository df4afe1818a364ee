//! What one feeder's messages mean for the tables that are held: decisions without I/O.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::feed::{FromSubscriber, ToSubscriber};
use crate::ids::Revision;
use crate::tables::{Tables, TablesUpdate};

/// Heartbeats in a row by which a feeder may be behind what is held: one may just have overtaken the change.
const BEHIND_HEARTBEATS: u32 = 2;

/// Heartbeats that may come instead of what was asked for: one may have been under way, the next may have
/// crossed the question.
const WAITED_HEARTBEATS: u32 = 3;
/// How long a home may lag behind the revision that the feeder has announced: some ten times the way over one
/// more machine, and a small part of the time within which a change must have spread.
pub const MAX_HOME_LAG: Duration = Duration::from_millis(150);

/// What follows from one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The tables changed; the feeder is to be told.
    Changed,
    /// Nothing changed. The tables are at the newest revision that the feeder has confirmed.
    Confirmed,
    /// Nothing changed, and nothing is known about being current.
    Unconfirmed,
    /// An update did not fit: a snapshot is to be asked for.
    WantsSnapshot,
    /// Other feeders to try later.
    Feeders(Vec<SocketAddr>),
    /// The feeder is not current: another one is to be asked.
    Leave,
    /// What was asked for does not come: the connection is to begin anew.
    Broken,
}

/// Where updates come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Source {
    /// The feeder itself.
    #[default]
    Feeder,
    /// The home of the zone, which lags since this moment, if it does.
    Home { lags_since: Option<Instant> },
}

/// Progress over one connection.
#[derive(Debug, Default)]
pub struct Progress {
    /// The feeder was asked for a snapshot that has not come yet.
    asked_snapshot: bool,
    /// The feeder was asked for updates that have not come yet.
    asked_updates: bool,
    /// Heartbeats that came instead of what was asked for.
    waited: u32,
    behind: u32,
    source: Source,
    announced: Revision,
}

impl Progress {
    /// Takes a message that came at `now`; applies an update to `tables`.
    pub fn take(&mut self, message: ToSubscriber, tables: &mut Arc<Tables>, now: Instant) -> Step {
        match message {
            ToSubscriber::Update(update) => self.update(update, tables, now),
            ToSubscriber::Heartbeat { revision, current } => {
                self.heartbeat(revision, current, tables.revision, now)
            }
            ToSubscriber::Controllers(addresses) => Step::Feeders(addresses),
        }
    }

    /// Updates come from the home from now on, which is told by the answer. None if they already do, or if the
    /// feeder has announced more than is held: that is to come first.
    pub fn begin_by_home(&mut self, held: Revision) -> Option<FromSubscriber> {
        if self.is_by_home() || self.announced > held {
            return None;
        }
        self.source = Source::Home { lags_since: None };
        Some(FromSubscriber::HeartbeatsOnly)
    }

    /// Whether updates come from the home.
    pub fn is_by_home(&self) -> bool {
        self.source != Source::Feeder
    }

    /// Takes tables that the home sent.
    pub fn offered(&mut self, offered: Arc<Tables>, tables: &mut Arc<Tables>) -> Step {
        if !self.is_by_home() || offered.revision <= tables.revision {
            return Step::Unconfirmed;
        }
        *tables = offered;
        if tables.revision >= self.announced {
            self.source = Source::Home { lags_since: None };
        }
        Step::Changed
    }

    /// When the feeder is to be asked for updates again, unless offers have caught up by then.
    pub fn home_is_overdue_at(&self) -> Option<Instant> {
        match self.source {
            Source::Feeder => None,
            Source::Home { lags_since } => lags_since.map(|since| since + MAX_HOME_LAG),
        }
    }

    /// Updates come from the feeder from now on, which is told by the answer; None if they already do.
    pub fn end_by_home(&mut self, held: Revision) -> Option<FromSubscriber> {
        let was_by_home = self.is_by_home();
        self.source = Source::Feeder;
        (self.asked_snapshot, self.asked_updates) = (false, was_by_home);
        was_by_home.then_some(FromSubscriber::ResumeUpdates {
            held_revision: held,
        })
    }

    fn update(&mut self, update: TablesUpdate, tables: &mut Arc<Tables>, now: Instant) -> Step {
        let before = tables.revision;
        if !Arc::make_mut(tables).apply(update) {
            return if self.is_by_home() {
                self.behind_the_feeder(now)
            } else {
                self.snapshot_once()
            };
        }
        (self.asked_snapshot, self.asked_updates, self.waited) = (false, false, 0);
        if tables.revision == before {
            Step::Unconfirmed
        } else {
            Step::Changed
        }
    }

    fn heartbeat(
        &mut self,
        revision: Revision,
        current: bool,
        held: Revision,
        now: Instant,
    ) -> Step {
        self.announced = self.announced.max(revision);
        if !current {
            return Step::Leave;
        }
        if revision > held {
            return self.behind_the_feeder(now);
        }
        if revision == held {
            self.behind = 0;
            return Step::Confirmed;
        }
        self.behind += 1;
        if self.behind < BEHIND_HEARTBEATS {
            Step::Unconfirmed
        } else {
            Step::Leave
        }
    }

    /// The feeder has announced more than is held.
    fn behind_the_feeder(&mut self, now: Instant) -> Step {
        if let Source::Home { lags_since } = &mut self.source {
            lags_since.get_or_insert(now);
            return Step::Unconfirmed;
        }
        if self.asked_updates || self.asked_snapshot {
            self.waited += 1;
            return if self.waited < WAITED_HEARTBEATS {
                Step::Unconfirmed
            } else {
                Step::Broken
            };
        }
        self.snapshot_once()
    }

    fn snapshot_once(&mut self) -> Step {
        if std::mem::replace(&mut self.asked_snapshot, true) {
            Step::Unconfirmed
        } else {
            Step::WantsSnapshot
        }
    }
}
