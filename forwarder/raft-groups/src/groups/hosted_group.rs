//! One group on this instance.

use super::snapshot_transfer::IncomingSnapshot;
use crate::leases::Lease;
use crate::replica::{PersistedState, Replica};
use crate::{Incarnation, Purpose};

/// A group that has its file here, with what the thread knows of it beside its replica.
pub(super) struct HostedGroup {
    pub(super) replica: Replica,
    pub(super) lease: Lease,
    /// The length of the group's file in bytes, as the disk last acknowledged it.
    pub(super) file_length: u64,
    /// This instance was removed from the group: its replica is not ticked until the leader sends to it again.
    pub(super) is_parked: bool,
    /// When the group was seen to be dissolved, in milliseconds since the start.
    pub(super) dissolved_at: Option<f64>,
    /// The voters that were logged last, while this instance leads.
    pub(super) logged_voters: Option<Vec<Incarnation>>,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
}

impl HostedGroup {
    pub(super) fn new(replica: Replica, lease: Lease) -> Self {
        HostedGroup {
            replica,
            lease,
            file_length: 0,
            is_parked: false,
            dissolved_at: None,
            logged_voters: None,
            incoming_snapshot: None,
        }
    }
}

/// A group whose file is being made.
pub(super) struct CreatingGroup {
    pub(super) purpose: Purpose,
    pub(super) state: PersistedState,
}
