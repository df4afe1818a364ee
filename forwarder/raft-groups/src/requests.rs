//! The messages between the forwarder's event loop and the groups thread, over bounded rings. A request that does not
//! fit into the ring is returned to the caller and never takes effect.

use crate::{GroupId, Incarnation, InstanceName, Purpose, Term};

/// A request from the event loop to the groups thread.
#[derive(Debug)]
pub enum GroupRequest {
    /// Founds a group with this instance as its first leader. The voters of an event log's group are chosen by
    /// [`crate::placement::rank_voters`]. [`GroupEvent::Elected`] follows once a majority is reachable.
    Create {
        /// The purpose of the group.
        purpose: Purpose,
    },
    /// Proposes a command. Exactly one [`GroupEvent::Committed`] or [`GroupEvent::Discarded`] answers the proposal, in
    /// the order of the numbers, unless this instance restarts in between.
    Propose {
        /// The group.
        group: GroupId,
        /// The proposal's number, incremented by one with each command of the group.
        number: u64,
        /// The command, at most [`crate::MAX_COMMAND_LEN`] bytes.
        command: Vec<u8>,
    },
    /// Sends a report to the leader of the control group, best effort.
    Report {
        /// The report, at most [`crate::MAX_REPORT_LEN`] bytes.
        body: Vec<u8>,
    },
    /// Dissolves a group that holds no more data: its members remove it.
    Dissolve {
        /// The group.
        group: GroupId,
    },
}

/// An event from the groups thread to the event loop.
#[derive(Debug)]
pub enum GroupEvent {
    /// This instance leads the group from now on and owns its contents.
    Elected {
        /// The group.
        group: GroupId,
        /// The purpose of the group.
        purpose: Purpose,
        /// The term in which this instance leads the group.
        term: Term,
        /// The snapshot of the state machine, which contains every command from before `term` that can ever be
        /// committed.
        state: Vec<u8>,
    },
    /// Another instance may lead the group, or the group was removed from this instance. In the second case, the event
    /// is also sent for a group that this instance never led. Proposals that are not answered yet remain open until
    /// their outcome is decided.
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
    /// A proposal will never be committed.
    Discarded {
        /// The group.
        group: GroupId,
        /// The proposal's number.
        number: u64,
    },
    /// A command of the control group was applied; every instance receives all of them in the log's order.
    Applied {
        /// The incarnation that proposed the command.
        proposer: Incarnation,
        /// The term in which it was proposed.
        term: Term,
        /// The command.
        command: Vec<u8>,
    },
    /// The complete state of the control group, which replaces missed commands.
    SnapshotInstalled {
        /// The state machine's snapshot.
        state: Vec<u8>,
    },
    /// A report arrived while this instance leads the control group.
    ReportReceived {
        /// The sender's name.
        from: InstanceName,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The report as it was sent.
        body: Vec<u8>,
    },
    /// An instance became reachable or unreachable.
    PeerChanged {
        /// The instance's name.
        name: InstanceName,
        /// The instance's incarnation.
        incarnation: Incarnation,
        /// Whether the instance is reachable.
        reachable: bool,
    },
}
