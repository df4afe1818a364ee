//! What the forwarder's event loop and the groups' thread send to each other, over bounded rings. A full ring refuses
//! a request: it comes back to the caller and surely never takes effect.

use crate::{GroupId, Incarnation, InstanceName, Purpose, Term};

/// From the event loop.
#[derive(Debug)]
pub enum GroupRequest {
    /// Founds a group of which this instance is the first leader, with voters chosen by
    /// [`crate::placement::rank_voters`]. [`GroupEvent::Elected`] follows once a majority is reachable.
    Create {
        /// What the group is for.
        purpose: Purpose,
    },
    /// To be committed. Answered once by [`GroupEvent::Committed`] or [`GroupEvent::Discarded`], in the order of the
    /// numbers, as long as this instance lived all the time.
    Propose {
        /// The group.
        group: GroupId,
        /// Grows by one with each of the group's commands.
        number: u64,
        /// At most [`crate::MAX_COMMAND_LEN`] bytes.
        command: Vec<u8>,
    },
    /// To the instance that leads the control group, best effort.
    Report {
        /// At most [`crate::MAX_REPORT_LEN`] bytes.
        body: Vec<u8>,
    },
    /// Nothing is kept in the group any more: its members forget it.
    Dissolve {
        /// The group.
        group: GroupId,
    },
}

/// To the event loop.
#[derive(Debug)]
pub enum GroupEvent {
    /// This instance leads the group from now on, and owns what is in it.
    Elected {
        /// The group.
        group: GroupId,
        /// What the group is for.
        purpose: Purpose,
        /// The term that it leads.
        term: Term,
        /// The state machine's snapshot, with all that can ever be committed from before `term`.
        state: Vec<u8>,
    },
    /// Another instance may lead the group. What was proposed and not answered stays open until it is decided.
    Deposed {
        /// The group.
        group: GroupId,
    },
    /// A proposal is committed and applied.
    Committed {
        /// The group.
        group: GroupId,
        /// The proposal's number.
        number: u64,
    },
    /// A proposal surely never is committed.
    Discarded {
        /// The group.
        group: GroupId,
        /// The proposal's number.
        number: u64,
    },
    /// A command of the control group was applied; every instance receives all of them in the log's order.
    Applied {
        /// Who proposed it.
        proposer: Incarnation,
        /// The term in which it was proposed.
        term: Term,
        /// The command.
        command: Vec<u8>,
    },
    /// The control group's whole state, in place of commands that were missed.
    SnapshotInstalled {
        /// The state machine's snapshot.
        state: Vec<u8>,
    },
    /// A report that came while this instance leads the control group.
    ReportReceived {
        /// The sender's name.
        from: InstanceName,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// As it was sent.
        body: Vec<u8>,
    },
    /// An instance became reachable or unreachable.
    PeerChanged {
        /// Its name.
        name: InstanceName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Whether it can be reached.
        reachable: bool,
    },
}
