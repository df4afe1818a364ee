//! What a member wants done, and what may only be done once something is on disk.

use std::net::SocketAddr;
use std::sync::Arc;

use plankhill_protocol::ids::Revision;

use crate::durable::{RequestNumber, Write};
use crate::message::Message;
use crate::view::ViewNumber;

/// Milliseconds on a clock of the process that never goes back.
pub type Millis = u64;

/// Names a batch of writes; batches are numbered in the order in which they have to reach the disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Something that the driver has to do, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// Where the receiver listens.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Write to the disk, after all earlier batches, and report the ticket when it is synced.
    Persist {
        /// To be reported.
        ticket: Ticket,
        /// The changes.
        writes: Vec<Write>,
    },
    /// A proposal made here was committed.
    Proposed {
        /// The proposal.
        request: RequestNumber,
        /// What it came to.
        outcome: Arc<[u8]>,
    },
    /// A proposal made here is given up; it may still be committed.
    ProposalFailed(RequestNumber),
    /// A read asked here can be answered from the present state.
    ReadReady(u64),
    /// A read asked here is given up.
    ReadFailed(u64),
}

/// What waits for a batch of writes to be synced.
#[derive(Clone, Debug)]
pub(crate) enum Deferred {
    /// Nothing.
    Nothing,
    /// A message may be sent.
    Send(SocketAddr, Message),
    /// A vote of this member may be counted by its own proposal.
    Vote(Message),
    /// Operations of this view up to here are on disk.
    Position(ViewNumber, Revision),
    /// This view is on disk, with the operations up to here.
    View(ViewNumber, Revision),
}
