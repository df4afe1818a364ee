//! What the loop and the groups' thread say to each other, over bounded rings. A full ring refuses the order:
//! it comes back to the caller and surely never counts.

use crate::{GroupId, Incarnation, InstanceName, Purpose, Term};

/// From the loop.
#[derive(Debug)]
pub enum GroupRequest {
    /// Founds a group of which this instance is the first leader, with keepers chosen by the roll.
    /// [`News::Leads`] follows once a majority is there.
    Create { purpose: Purpose },
    /// To be committed; numbers grow by one for each group. Answered once by `Committed` or `Void`, in the
    /// order of the numbers, as long as this instance lived all the time.
    Propose {
        group: GroupId,
        number: u64,
        command: Vec<u8>,
    },
    /// To the instance that leads the control group, best effort: reports of demand, ends. At most 64 KiB.
    Report { body: Vec<u8> },
    /// Nothing is kept in it any more: its keepers forget it.
    Dissolve { group: GroupId },
}

/// To the loop.
#[derive(Debug)]
pub enum GroupEvent {
    /// This instance leads the group from now on: `state` is the machine's snapshot with all that can ever
    /// count from before `term`. For a record's group: it owns what is in it.
    Elected {
        group: GroupId,
        purpose: Purpose,
        term: Term,
        state: Vec<u8>,
    },
    /// Another may lead by now. What was proposed and not answered yet stays open until it is decided.
    Deposed { group: GroupId },
    /// Applied on a majority's log: it counts.
    Committed { group: GroupId, number: u64 },
    /// It surely never counts.
    Discarded { group: GroupId, number: u64 },
    /// A command of the control group, in the log's order; every instance hears it.
    Applied {
        proposer: Incarnation,
        term: Term,
        command: Vec<u8>,
    },
    /// The control group's state as a whole, in place of commands that were missed.
    SnapshotInstalled { state: Vec<u8> },
    /// A report that came in while this instance leads the control group.
    ReportReceived {
        from: InstanceName,
        incarnation: Incarnation,
        body: Vec<u8>,
    },
    /// An instance can be reached, or can't any more.
    PeerChanged {
        name: InstanceName,
        incarnation: Incarnation,
        reachable: bool,
    },
}
