//! Effects: the actions that a member requests from its driver.

use std::net::SocketAddr;
use std::sync::Arc;

use plankhill_protocol::ids::Revision;

use crate::entry::RequestNumber;
use crate::message::Message;
use crate::storage::Write;
use crate::view::ViewNumber;

/// Milliseconds: a duration, or a time on a monotonic clock of the process.
pub type Millis = u64;

/// Identifies a batch of writes; batches are numbered in the order in which they must reach the
/// disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// An action for the driver, which performs all actions in the given order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message, which may be lost.
    Send {
        /// Address at which the receiver listens.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Write to the disk, after all earlier batches, and report the ticket to
    /// [`crate::ChainMember::on_persisted`] when the batch is synced.
    Persist {
        /// Identifies the batch.
        ticket: Ticket,
        /// The changes to write, in order.
        writes: Vec<Write>,
    },
    /// A proposal made at this member was committed.
    ProposalCommitted {
        /// The proposal.
        request: RequestNumber,
        /// The outcome returned by the state machine.
        outcome: Arc<[u8]>,
    },
    /// A proposal made at this member is abandoned; the operation may still be committed.
    ProposalFailed(RequestNumber),
    /// A read requested at this member can be answered from the current state.
    ReadReady(u64),
    /// A read requested at this member is abandoned.
    ReadFailed(u64),
}

/// A position in the log, with the view in which the log has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogPosition {
    /// The view.
    pub(crate) view: ViewNumber,
    /// Revision of the last operation.
    pub(crate) revision: Revision,
}
