//! What a member keeps on disk, and the contract of the storage that keeps it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use plankhill_protocol::ids::{Incarnation, NodeId, Revision};
use serde::{Deserialize, Serialize};

use crate::view::{View, ViewNumber};

/// Name of a proposed operation, drawn at random by the member that proposes it; the same at each repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestNumber(pub u128);

/// One operation in the chain's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the proposal.
    pub request: RequestNumber,
    /// The member that waits for the outcome.
    pub origin: NodeId,
    /// What the state machine is to apply.
    pub operation: Arc<[u8]>,
}

/// Orders the attempts to agree on one view.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Raised for each attempt.
    pub round: u64,
    /// Who attempts; two members never use the same ballot.
    pub proposer: NodeId,
}

/// A voter's part in the agreement on the view that follows its present one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptor {
    /// The view that is to be agreed on.
    pub instance: ViewNumber,
    /// Nothing below this ballot is accepted any more. Once set, the member takes no operations in its
    /// present view.
    pub promised: Option<Ballot>,
    /// What was accepted last.
    pub accepted: Option<(Ballot, View)>,
}

impl Acceptor {
    /// Nothing promised yet for a view.
    pub fn fresh(instance: ViewNumber) -> Self {
        Self {
            instance,
            ..Self::default()
        }
    }
}

/// The state after a committed operation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last operation that it holds.
    pub revision: Revision,
    /// The state machine.
    pub machine: Arc<[u8]>,
    /// Outcomes of the newest proposals, oldest first.
    pub outcomes: Vec<(RequestNumber, Arc<[u8]>)>,
}

/// One change of what is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// The life of this disk begins.
    Incarnation(Incarnation),
    /// This member may found the first view, together with those at these addresses.
    Founders(Vec<SocketAddr>),
    /// Promises and acceptances.
    Acceptor(Acceptor),
    /// A view that was agreed on.
    View(View),
    /// An operation takes its place in the order.
    Append {
        /// Its place.
        revision: Revision,
        /// The operation.
        entry: Entry,
    },
    /// All operations after this one are void.
    Truncate(Revision),
    /// Operations up to here are known to be committed.
    Committed(Revision),
    /// A newer snapshot; operations that it holds need not be kept.
    Snapshot(Snapshot),
}

/// Everything that a member finds on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Durable {
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

impl Durable {
    /// Takes in one change; the reference that each storage has to match.
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
    /// What can go wrong.
    type Error: std::error::Error;

    /// Everything that was written.
    ///
    /// # Errors
    /// The implementation's, also when what is found cannot be read.
    fn load(&mut self) -> Result<Durable, Self::Error>;

    /// Writes the changes in order, all or none of them; returns when they survive a loss of power.
    ///
    /// # Errors
    /// The implementation's; the storage may not be used any further then, until it has recovered.
    fn write(&mut self, changes: &[Write]) -> Result<(), Self::Error>;

    /// After a failed write: makes the storage fit for use again, with everything that was written before. Of the
    /// changes whose write has failed all may be there, or none.
    ///
    /// # Errors
    /// The implementation's, while the disk takes no writes or what lies there cannot be read any more.
    fn recover(&mut self) -> Result<(), Self::Error>;

    /// Whether the cause of an error may pass, as a full disk does, so that another attempt makes sense.
    fn may_pass(error: &Self::Error) -> bool;
}
