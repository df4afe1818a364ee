//! The state of one other instance.

use crate::links::channels::PeerIndex;
use crate::{GroupId, Incarnation};

/// The known state of another instance in the fleet file. Times are in milliseconds since this process's start.
#[derive(Default)]
pub(super) struct PeerState {
    /// The incarnation that accepted this instance's hello, while the link is open.
    pub(super) connected: Option<Incarnation>,
    /// When the last message from the instance arrived.
    pub(super) received_at: f64,
    /// The incarnation that was announced to the event loop as reachable.
    pub(super) announced: Option<Incarnation>,
    /// When the link was lost.
    pub(super) disconnected_at: f64,
    pub(super) capacity: PeerCapacity,
    /// The control group known to the instance.
    pub(super) control: Option<GroupId>,
}

/// The free capacity of an instance. Proposals that the instance had not received when it measured the capacity may
/// have used part of it.
#[derive(Default)]
pub(super) struct PeerCapacity {
    /// The free bytes at the time when [`PeerCapacity::measured_at`] bytes of commands had been proposed here.
    pub(super) free_bytes: u64,
    measured_at: u64,
    /// The number of bytes proposed when the last heartbeat arrived.
    proposed_at_heartbeat: u64,
}

impl PeerCapacity {
    /// Assumes unlimited capacity until the first heartbeat.
    pub(super) fn reset(&mut self) {
        self.free_bytes = u64::MAX;
        self.measured_at = 0;
    }

    /// Updates the capacity from a heartbeat that arrived when `proposed` bytes of commands had been proposed here.
    /// Proposals made since the previous heartbeat may not have reached the peer before it measured its capacity.
    pub(super) fn update(&mut self, free_bytes: u64, proposed: u64) {
        self.free_bytes = free_bytes;
        self.measured_at = self.proposed_at_heartbeat;
        self.proposed_at_heartbeat = proposed;
    }

    /// Returns the total number of command bytes, counted from this process's start, up to which the instance has
    /// capacity.
    pub(super) fn command_bytes_limit(&self) -> u64 {
        self.measured_at.saturating_add(self.free_bytes)
    }
}

/// An incoming connection whose hello was accepted.
#[derive(Clone, Copy)]
pub(super) struct AcceptedConnection {
    pub(super) peer: PeerIndex,
    pub(super) incarnation: Incarnation,
}
