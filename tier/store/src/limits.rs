//! Times and bounds of a store.

use std::time::Duration;

use plankhill_settings::Settings;

/// The longest that a peer is waited for: a round trip with a few syncs of a slow disk.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// The longest that a proxy's call is worked on; below the time after which proxies ask another store.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// The longest that the first replica is waited for before all others are asked for a turn.
pub const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(120);
/// How often what is too old is dropped.
pub const EXPIRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// How often a store that missed something is tried: a few times within any bound for catching up.
pub const HINT_INTERVAL: Duration = Duration::from_millis(300);
/// Pause before copying from stores that failed is tried again.
pub const COPY_PAUSE: Duration = Duration::from_millis(100);
/// Pause between tries to compare with the other stores after a start.
pub const CATCH_UP_PAUSE: Duration = Duration::from_millis(200);
/// Such tries: they cover a start at which all stores come back one after the other.
pub const CATCH_UP_ROUNDS: u32 = 25;
/// While a turn runs its chain is kept at least this long, in milliseconds.
pub const RUNNING_TURN_MS: u64 = 60_000;
/// Bytes of one chain at most: what fits into one frame with room to spare.
pub const MOST_CHAIN_BYTES: usize = 24 * 1024 * 1024;
/// Bytes of turns in one message between stores, unless one alone is larger.
pub const MESSAGE_BYTES: usize = 512 * 1024;
/// Programs in one page of a list.
pub const PAGE_PROGRAMS: usize = 512;
/// Turns in one repair.
pub const REPAIR_TURNS: usize = 256;
/// What one store has missed; beyond that only reads of other copies help, or an empty disk.
pub const MOST_HINTS: usize = 50_000;

/// Part of a disk that turns take up: the database needs room for its journals and for merging tables.
const DISK_SHARE: f64 = 0.35;
/// Part of the memory that what is known of turns and accounts takes up with the database's caches beside it.
const MEMORY_SHARE: f64 = 0.35;
/// Turns are kept longer than asked by at least this, for turns that go on from them at the last moment.
const LEAST_SLACK: Duration = Duration::from_millis(10_000);

/// What follows from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Milliseconds that turns are kept longer than asked: clocks differ, and steps of a clock count when a
    /// process starts anew.
    pub slack_ms: u64,
    /// Bytes of turns and accounts at most.
    pub most_bytes: u64,
}

impl Figures {
    /// Of a process with these settings.
    pub fn of(settings: &Settings) -> Self {
        let slack = LEAST_SLACK.max(2 * settings.bounds.max_skew());
        let disk = settings.limits.disk_bytes() as f64 * DISK_SHARE;
        let memory = settings.limits.memory_bytes() as f64 * MEMORY_SHARE;
        Figures {
            slack_ms: slack.as_millis() as u64,
            most_bytes: disk.min(memory) as u64,
        }
    }
}
