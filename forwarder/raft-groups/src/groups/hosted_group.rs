//! The state of one group on this instance.

use super::snapshot_transfer::IncomingSnapshot;
use crate::leases::Lease;
use crate::replica::{PersistedState, Replica};
use crate::{Incarnation, Purpose};

/// A group that has a file on this instance: its replica, and the groups thread's own state for it.
pub(super) struct HostedGroup {
    pub(super) replica: Replica,
    pub(super) lease: Lease,
    /// The length of the group's file in bytes, as last acknowledged by the disk thread.
    pub(super) file_length: u64,
    /// Whether this instance was removed from the group: its replica receives no ticks until the leader sends a message
    /// again.
    pub(super) is_suspended: bool,
    /// When the dissolution was observed, in milliseconds since the start.
    pub(super) dissolved_at: Option<f64>,
    /// The voters last logged, while this instance leads.
    pub(super) logged_voters: Option<Vec<Incarnation>>,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
}

impl HostedGroup {
    pub(super) fn new(replica: Replica, lease: Lease) -> Self {
        HostedGroup {
            replica,
            lease,
            file_length: 0,
            is_suspended: false,
            dissolved_at: None,
            logged_voters: None,
            incoming_snapshot: None,
        }
    }
}

/// A group whose file is being created.
pub(super) struct CreatingGroup {
    pub(super) purpose: Purpose,
    pub(super) state: PersistedState,
}
