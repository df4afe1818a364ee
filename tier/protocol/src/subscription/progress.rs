//! What one feeder's messages mean for the tables that are held: decisions without I/O.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::feed::ToSubscriber;
use crate::ids::Revision;
use crate::tables::{Tables, TablesUpdate};

/// Heartbeats in a row by which a feeder may be behind what is held: one may just have overtaken the change.
const BEHIND_HEARTBEATS: u32 = 2;

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
}

/// Progress over one connection.
#[derive(Debug, Default)]
pub struct Progress {
    asked: bool,
    behind: u32,
}

impl Progress {
    /// Takes a message; applies an update to `tables`.
    pub fn take(&mut self, message: ToSubscriber, tables: &mut Arc<Tables>) -> Step {
        match message {
            ToSubscriber::Update(update) => self.update(update, tables),
            ToSubscriber::Heartbeat { revision, current } => {
                self.heartbeat(revision, current, tables.revision)
            }
            ToSubscriber::Controllers(addresses) => Step::Feeders(addresses),
        }
    }

    fn update(&mut self, update: TablesUpdate, tables: &mut Arc<Tables>) -> Step {
        let before = tables.revision;
        if !Arc::make_mut(tables).apply(update) {
            return self.snapshot_once();
        }
        self.asked = false;
        if tables.revision == before {
            Step::Unconfirmed
        } else {
            Step::Changed
        }
    }

    fn heartbeat(&mut self, revision: Revision, current: bool, held: Revision) -> Step {
        if !current {
            return Step::Leave;
        }
        if revision > held {
            return self.snapshot_once();
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

    fn snapshot_once(&mut self) -> Step {
        if std::mem::replace(&mut self.asked, true) {
            Step::Unconfirmed
        } else {
            Step::WantsSnapshot
        }
    }
}
