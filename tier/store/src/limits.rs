//! Timeouts, intervals and bounds of a store.

use std::time::Duration;

use plankhill_settings::Settings;

/// How long a store waits for another store: a round trip with a few syncs of a slow disk.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a store works on a proxy's call; below the time after which proxies ask another store.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the preferred replica of a turn is waited for before all other stores are asked.
pub const PREFERRED_REPLICA_TIMEOUT: Duration = Duration::from_millis(120);
/// How often expired turns and accounts are dropped.
pub const EXPIRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// How often a store that missed updates is called: a few times within any bound for catching up.
pub const HINT_DELIVERY_INTERVAL: Duration = Duration::from_millis(300);
/// Backoff before a transfer from stores that failed is attempted again.
pub const TRANSFER_RETRY_BACKOFF: Duration = Duration::from_millis(100);
/// Interval of attempts to compare with the other stores after a start.
pub const CATCH_UP_INTERVAL: Duration = Duration::from_millis(200);
/// Such attempts at most: they cover a start at which all stores come back one after the other.
pub const MAX_CATCH_UP_ATTEMPTS: u32 = 25;
/// While a turn runs the chain that it continues is retained for at least this time, in milliseconds.
pub const RUNNING_TURN_TTL_MS: u64 = 60_000;
/// Bytes of one chain: less than what fits into one frame.
pub const MAX_CHAIN_BYTES: usize = 24 * 1024 * 1024;
/// Bytes of turns in one message between stores, unless one turn alone is larger.
pub const MAX_MESSAGE_BYTES: usize = 512 * 1024;
/// Programs in one page of a list, and turns in one request for turns.
pub const MAX_PAGE_ENTRIES: usize = 512;
/// Updates in one repair.
pub const MAX_REPAIR_UPDATES: usize = 256;
/// Hints about one store; what it misses beyond that is only repaired when it starts and compares.
pub const MAX_HINTS_PER_STORE: usize = 50_000;

/// Fraction of the disk that turns take up: the database needs space for its journals and for merging
/// tables.
const DISK_FRACTION: f64 = 0.35;
/// Fraction of the memory that the index of turns and accounts takes up, beside the database's caches.
const MEMORY_FRACTION: f64 = 0.35;
/// Turns are retained longer than asked by at least this, for turns that continue them at the last
/// moment.
const MIN_RETENTION_SLACK: Duration = Duration::from_millis(10_000);

/// Bounds that follow from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Milliseconds that turns are retained longer than asked: clocks differ, and a step of the machine's
    /// clock counts when a process starts anew.
    pub retention_slack_ms: u64,
    /// Bytes of turns and accounts.
    pub max_index_bytes: u64,
}

impl Limits {
    /// The limits of a process with these settings.
    pub fn from_settings(settings: &Settings) -> Self {
        let slack = MIN_RETENTION_SLACK.max(2 * settings.bounds.max_skew());
        let disk_bytes = settings.limits.disk_bytes() as f64 * DISK_FRACTION;
        let memory_bytes = settings.limits.memory_bytes() as f64 * MEMORY_FRACTION;
        Limits {
            retention_slack_ms: slack.as_millis() as u64,
            max_index_bytes: disk_bytes.min(memory_bytes) as u64,
        }
    }
}
