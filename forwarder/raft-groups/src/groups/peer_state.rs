//! One other instance.

use crate::links::channels::PeerIndex;
use crate::{GroupId, Incarnation};

/// What is known of an instance of the fleet file. Times are in milliseconds since this process's start.
#[derive(Default)]
pub(super) struct PeerState {
    /// The incarnation that replied to this instance's hello, while the link stands.
    pub(super) connected: Option<Incarnation>,
    /// When something last came from it.
    pub(super) received_at: f64,
    /// The incarnation that the event loop was told of as reachable.
    pub(super) announced: Option<Incarnation>,
    /// Since when the link is broken.
    pub(super) disconnected_at: f64,
    pub(super) capacity: PeerCapacity,
    /// The control group that it knows of.
    pub(super) control: Option<GroupId>,
}

/// How much an instance has capacity for. Proposals that it had not received when it said so may have used some.
#[derive(Default)]
pub(super) struct PeerCapacity {
    /// Bytes, when [`PeerCapacity::measured_at`] bytes of commands had been proposed here.
    pub(super) free_bytes: u64,
    measured_at: u64,
    /// How many bytes had been proposed when its last heartbeat came.
    proposed_at_heartbeat: u64,
}

impl PeerCapacity {
    /// Unknown until the first heartbeat: as much as it takes.
    pub(super) fn reset(&mut self) {
        self.free_bytes = u64::MAX;
        self.measured_at = 0;
    }

    /// A heartbeat came, when `proposed` bytes of commands had been proposed here. What was proposed since the
    /// heartbeat before may not have reached the peer when it measured.
    pub(super) fn update(&mut self, free_bytes: u64, proposed: u64) {
        self.free_bytes = free_bytes;
        self.measured_at = self.proposed_at_heartbeat;
        self.proposed_at_heartbeat = proposed;
    }

    /// Up to how many bytes of commands, counted from this process's start, it has capacity.
    pub(super) fn command_bytes_limit(&self) -> u64 {
        self.measured_at.saturating_add(self.free_bytes)
    }
}

/// A connection of an instance that was welcomed.
#[derive(Clone, Copy)]
pub(super) struct Call {
    pub(super) peer: PeerIndex,
    pub(super) incarnation: Incarnation,
}
