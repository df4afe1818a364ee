//! What a member keeps on disk, and the contract of the storage that keeps it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use plankhill_protocol::ids::{Incarnation, Revision};
use serde::{Deserialize, Serialize};

use crate::acceptor::Acceptor;
use crate::entry::{Entry, RequestNumber};
use crate::view::View;

/// The state after a committed operation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last operation that the snapshot contains; 0 before the first.
    pub revision: Revision,
    /// The state machine's own encoding; empty before the first operation.
    pub machine: Arc<[u8]>,
    /// Outcomes of the newest proposals, oldest first.
    pub outcomes: Vec<(RequestNumber, Arc<[u8]>)>,
}

/// One change of what is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// An empty disk gets its incarnation.
    Incarnation(Incarnation),
    /// This member may found the first view, together with those at these addresses.
    Founders(Vec<SocketAddr>),
    /// Promises and acceptances.
    Acceptor(Acceptor),
    /// A view that was agreed on.
    View(View),
    /// An operation is added to the log.
    Append {
        /// The operation's position in the order.
        revision: Revision,
        /// The operation.
        entry: Entry,
    },
    /// All operations after this one are void.
    Truncate(Revision),
    /// Operations up to here are known to be committed.
    Committed(Revision),
    /// A newer snapshot; operations that the snapshot contains need not be kept.
    Snapshot(Snapshot),
}

/// Everything that a member finds on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Missing on an empty disk.
    pub incarnation: Option<Incarnation>,
    /// Present where this member may found the first view.
    pub founders: Option<Vec<SocketAddr>>,
    /// Promises and acceptances.
    pub acceptor: Acceptor,
    /// The newest view known; number 0 for none.
    pub view: View,
    /// Operations up to here are known to be committed.
    pub committed: Revision,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// Operations after the snapshot.
    pub entries: BTreeMap<Revision, Entry>,
}

impl DurableState {
    /// Applies one change. The reference that each [`Storage`] has to match.
    pub fn apply(&mut self, write: &Write) {
        match write {
            Write::Incarnation(incarnation) => self.incarnation = Some(*incarnation),
            Write::Founders(addresses) => self.founders = Some(addresses.clone()),
            Write::Acceptor(acceptor) => self.acceptor = acceptor.clone(),
            Write::View(view) => self.view = view.clone(),
            Write::Append { revision, entry } => {
                self.entries.insert(*revision, entry.clone());
            }
            Write::Truncate(last) => {
                self.entries.split_off(&Revision(last.0 + 1));
            }
            Write::Committed(revision) => self.committed = *revision,
            Write::Snapshot(snapshot) => {
                self.entries = self.entries.split_off(&Revision(snapshot.revision.0 + 1));
                self.snapshot = snapshot.clone();
            }
        }
    }
}

/// Keeps what a member has to remember over a loss of power.
pub trait Storage {
    /// Why the storage could not do what was asked.
    type Error: std::error::Error;

    /// Everything that was written.
    ///
    /// # Errors
    /// The implementation's, also when what is found cannot be read.
    fn load(&mut self) -> Result<DurableState, Self::Error>;

    /// Writes the changes in order, all or none of them; returns when they survive a loss of power.
    ///
    /// # Errors
    /// The implementation's. The storage may not be used any further then, until
    /// [`Storage::recover`] has succeeded.
    fn write(&mut self, changes: &[Write]) -> Result<(), Self::Error>;

    /// After a failed write: makes the storage fit for use again, with everything that was written
    /// before. Of the changes whose write has failed all may be there, or none.
    ///
    /// # Errors
    /// The implementation's, while the disk takes no writes or what lies there cannot be read any
    /// more.
    fn recover(&mut self) -> Result<(), Self::Error>;

    /// Whether the cause of an error may pass, as a full disk does, so that another attempt makes
    /// sense.
    fn is_transient(error: &Self::Error) -> bool;
}
