//! What a subscription publishes about its connection. Written by the subscription's task, read by
//! the owner.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The status of the connection to a feeder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkStatus {
    /// Whether the connection is up, the feeder says that it is current, and the tables are at its
    /// revision.
    pub current: bool,
    /// When `current`, `address` or `follows_home` changed last.
    pub changed_at: Instant,
    /// The connected feeder; `None` while there is none.
    pub address: Option<SocketAddr>,
    /// Whether the feeder sends heartbeats only, and updates come from
    /// [`super::Subscription::offer`].
    pub follows_home: bool,
    /// When the tables were last known to be current. Rises without waking the watchers.
    pub confirmed_at: Option<Instant>,
}

impl LinkStatus {
    /// The status of a subscription that has not been connected since `now`.
    pub(super) fn disconnected(now: Instant) -> Self {
        LinkStatus {
            current: false,
            changed_at: now,
            address: None,
            follows_home: false,
            confirmed_at: None,
        }
    }

    /// Whether the tables were known to be current at some moment within `age` before `now`.
    pub fn confirmed_within(&self, age: Duration, now: Instant) -> bool {
        match self.confirmed_at {
            Some(confirmed_at) => now.saturating_duration_since(confirmed_at) <= age,
            None => false,
        }
    }
}
