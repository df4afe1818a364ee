//! The connection status that a subscription publishes. Written by the subscription's task, read by
//! the owner.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The status of the connection to a feeder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkStatus {
    /// Whether the connection is open, the feeder reports that it is current, and the tables are at
    /// the feeder's revision.
    pub current: bool,
    /// Time of the last change of `current`, `address` or `follows_home`.
    pub changed_at: Instant,
    /// The connected feeder; `None` while there is none.
    pub address: Option<SocketAddr>,
    /// Whether the feeder sends heartbeats only, and updates come from
    /// [`super::Subscription::offer`].
    pub follows_home: bool,
    /// Time at which the tables were last confirmed to be current. Watchers are not notified when
    /// only this field changes.
    pub confirmed_at: Option<Instant>,
}

impl LinkStatus {
    /// Returns the status of a subscription that is disconnected since `now`.
    pub(super) fn disconnected(now: Instant) -> Self {
        LinkStatus {
            current: false,
            changed_at: now,
            address: None,
            follows_home: false,
            confirmed_at: None,
        }
    }

    /// Returns whether the tables were confirmed to be current within `age` before `now`.
    pub fn confirmed_within(&self, age: Duration, now: Instant) -> bool {
        match self.confirmed_at {
            Some(confirmed_at) => now.saturating_duration_since(confirmed_at) <= age,
            None => false,
        }
    }
}
