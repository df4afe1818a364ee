//! Timeouts, intervals and limits of a store.

use std::time::Duration;

use plankhill_settings::Settings;

/// Timeout of a call to another store: enough for a round trip and a few syncs of a slow disk.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for answering a proxy's call; shorter than the proxy's timeout of a call to one store.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of the preferred replica of a turn, after which all stores are called.
pub const PREFERRED_REPLICA_TIMEOUT: Duration = Duration::from_millis(120);
/// Interval at which expired turns and accounts are removed.
pub const EXPIRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of calls to a store that missed updates: short enough for a few calls within any time limit
/// for catching up.
pub const HINT_DELIVERY_INTERVAL: Duration = Duration::from_millis(300);
/// Backoff before a transfer is retried from the stores that failed.
pub const TRANSFER_RETRY_BACKOFF: Duration = Duration::from_millis(100);
/// Interval of the attempts to compare with the other stores after a start.
pub const CATCH_UP_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of these attempts: enough for a restart of all stores one after the other.
pub const MAX_CATCH_UP_ATTEMPTS: u32 = 25;
/// Minimum time, in milliseconds, for which the chain that a running turn continues is retained from the
/// turn's reservation on.
pub const RUNNING_TURN_TTL_MS: u64 = 60_000;
/// Maximum bytes of one chain: less than the maximum size of a frame.
pub const MAX_CHAIN_BYTES: usize = 24 * 1024 * 1024;
/// Maximum bytes of a chain that is read from other stores before its size is known.
pub const MAX_UNSIZED_CHAIN_BYTES: usize = 512 * 1024;
/// Bytes of turns at which one message between stores is complete; its last turn may exceed the limit.
pub const MAX_MESSAGE_BYTES: usize = 512 * 1024;
/// Maximum number of programs in one page of a list, and of turns in one request for turns.
pub const MAX_PAGE_ENTRIES: usize = 512;
/// Maximum number of updates in one repair.
pub const MAX_REPAIR_UPDATES: usize = 256;
/// Maximum number of hints for one store. Further missed updates are repaired only by the comparison with
/// the other stores after the store's next start.
pub const MAX_HINTS_PER_STORE: usize = 50_000;

/// Fraction of the disk that turns may use: the database also needs space for its journals and for
/// compaction.
const DISK_FRACTION: f64 = 0.35;
/// Fraction of the memory that the index of turns and accounts may use, in addition to the database's
/// caches.
const MEMORY_FRACTION: f64 = 0.35;
/// Fraction of the memory that chains may use while a coordinator reads them and replies to proxies.
const CHAIN_MEMORY_FRACTION: f64 = 0.25;
/// Fraction of the memory that chains may use while they are read and sent to other stores.
const PEER_CHAIN_MEMORY_FRACTION: f64 = 0.1;
/// Minimum time for which turns are retained beyond the requested retention, for turns that continue them
/// at its very end.
const MIN_RETENTION_SLACK: Duration = Duration::from_millis(10_000);

/// Limits that are derived from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Milliseconds for which turns are retained beyond the requested retention. This covers clock skew
    /// between machines, and steps of the machine's clock, which take effect when a process restarts.
    pub retention_slack_ms: u64,
    /// Maximum bytes of turns and accounts.
    pub max_index_bytes: u64,
    /// Maximum memory, in bytes, of the chains that are being read for proxies.
    pub chain_memory_bytes: usize,
    /// Maximum memory, in bytes, of the chains that are being read for other stores.
    pub peer_chain_memory_bytes: usize,
}

impl Limits {
    /// Derives the limits of a process from its settings.
    pub fn from_settings(settings: &Settings) -> Self {
        let slack = MIN_RETENTION_SLACK.max(2 * settings.bounds.max_skew());
        let disk_bytes = settings.limits.disk_bytes() as f64 * DISK_FRACTION;
        let memory_bytes = settings.limits.memory_bytes() as f64;
        let index_bytes = memory_bytes * MEMORY_FRACTION;
        Limits {
            retention_slack_ms: slack.as_millis() as u64,
            max_index_bytes: disk_bytes.min(index_bytes) as u64,
            chain_memory_bytes: (memory_bytes * CHAIN_MEMORY_FRACTION) as usize,
            peer_chain_memory_bytes: (memory_bytes * PEER_CHAIN_MEMORY_FRACTION) as usize,
        }
    }
}
