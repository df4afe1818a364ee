//! Durable state of a member, and the interface of the storage that holds it.

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
    /// Revision of the last operation that the snapshot contains; 0 before the first operation.
    pub revision: Revision,
    /// The state in the state machine's own encoding; empty before the first operation.
    pub machine: Arc<[u8]>,
    /// Outcomes of the newest proposals, oldest first.
    pub outcomes: Vec<(RequestNumber, Arc<[u8]>)>,
}

/// A change to the durable state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Assigns an incarnation to an empty disk.
    Incarnation(Incarnation),
    /// Addresses of the founders, which may establish the first view. This member is one of them.
    Founders(Vec<SocketAddr>),
    /// The acceptor with a new promise or acceptance.
    Acceptor(Acceptor),
    /// A view that was agreed on.
    View(View),
    /// Appends an operation to the log.
    Append {
        /// Revision of the operation.
        revision: Revision,
        /// The operation.
        entry: Entry,
    },
    /// Removes all operations after this revision, which are void.
    Truncate(Revision),
    /// All operations up to this revision are known to be committed.
    Committed(Revision),
    /// A newer snapshot; operations that it contains may be removed.
    Snapshot(Snapshot),
}

/// The durable state that a member loads at its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Incarnation of the disk; `None` for an empty disk.
    pub incarnation: Option<Incarnation>,
    /// Addresses of the founders, if this member is one of them.
    pub founders: Option<Vec<SocketAddr>>,
    /// The acceptor with its promise and accepted view.
    pub acceptor: Acceptor,
    /// The newest known view; number 0 before the first view.
    pub view: View,
    /// All operations up to this revision are known to be committed.
    pub committed: Revision,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// Operations after the snapshot.
    pub entries: BTreeMap<Revision, Entry>,
}

impl DurableState {
    /// Applies one change. Each [`Storage`] implementation must have the same result.
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

/// Storage for the state of a member that must survive a power failure.
pub trait Storage {
    /// Error of a storage operation.
    type Error: std::error::Error;

    /// Loads the state from all completed writes.
    ///
    /// # Errors
    /// Errors of the implementation, including stored data that cannot be read.
    fn load(&mut self) -> Result<DurableState, Self::Error>;

    /// Writes the changes in order and atomically; returns when they survive a power failure.
    ///
    /// # Errors
    /// Errors of the implementation. After an error the storage must not be used until
    /// [`Storage::recover`] has succeeded.
    fn write(&mut self, changes: &[Write]) -> Result<(), Self::Error>;

    /// Makes the storage usable again after a failed write, with all changes written before it. The
    /// changes of the failed write are either all present or all absent.
    ///
    /// # Errors
    /// Errors of the implementation, while the disk rejects writes or the stored data cannot be
    /// read.
    fn recover(&mut self) -> Result<(), Self::Error>;

    /// Returns whether the cause of an error is temporary, such as a full disk, so that a retry may
    /// succeed.
    fn is_transient(error: &Self::Error) -> bool;
}
