//! What a member wants done by the driver that owns it.

use std::net::SocketAddr;
use std::sync::Arc;

use plankhill_protocol::ids::Revision;

use crate::entry::RequestNumber;
use crate::message::Message;
use crate::storage::Write;
use crate::view::ViewNumber;

/// Milliseconds: a duration, or a time on a clock of the process that never goes back.
pub type Millis = u64;

/// Names a batch of writes; batches are numbered in the order in which they have to reach the disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Something that the driver has to do, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message, which may be lost.
    Send {
        /// Where the receiver listens.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Write to the disk, after all earlier batches, and report the ticket to
    /// [`crate::ChainMember::on_persisted`] when the batch is synced.
    Persist {
        /// Names the batch.
        ticket: Ticket,
        /// The changes.
        writes: Vec<Write>,
    },
    /// A proposal made at this member was committed.
    ProposalCommitted {
        /// The proposal.
        request: RequestNumber,
        /// What the state machine answered.
        outcome: Arc<[u8]>,
    },
    /// A proposal made at this member is abandoned; the operation may still be committed.
    ProposalFailed(RequestNumber),
    /// A read asked for at this member can be answered from the present state.
    ReadReady(u64),
    /// A read asked for at this member is abandoned.
    ReadFailed(u64),
}

/// A position of the log in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogPosition {
    /// The view.
    pub(crate) view: ViewNumber,
    /// The last operation.
    pub(crate) revision: Revision,
}
