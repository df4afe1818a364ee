//! The time spans that a group's promises rest on.

/// Spans counted in ticks, which never come sooner than `tick` milliseconds after each other.
#[derive(Clone, Copy, Debug)]
pub struct GroupTiming {
    /// The interval of ticks, in milliseconds.
    pub tick: f64,
    /// The interval of heartbeats, in ticks.
    pub heartbeat_ticks: u32,
    /// The election timeout, in ticks.
    pub election_ticks: u32,
    /// How long a lease lasts from the sending of the heartbeat that a majority answered, in milliseconds.
    pub lease_ttl: f64,
    /// Makes election timeouts a function of the seed, for tests. `None`: drawn at random.
    pub seed: Option<u64>,
}

/// How far the clocks of two machines may run apart, as a share.
const MAX_CLOCK_DRIFT: f64 = 0.05;

impl GroupTiming {
    /// Derives the spans from the fleet file's, all in milliseconds.
    ///
    /// A voter's promise begins within a tick, so one tick of the election timeout may be missing. What a stalled
    /// process may still do before the kernel ends it, within `watchdog_timeout`, has to fit into the rest on a clock
    /// that is slow.
    pub fn new(heartbeat_interval: f64, election_timeout: f64, watchdog_timeout: f64) -> Self {
        let tick = heartbeat_interval / 4.0;
        let lease_ttl = (election_timeout - tick) / (1.0 + MAX_CLOCK_DRIFT) - watchdog_timeout;
        let election_ticks = (election_timeout / tick).ceil() as u32;
        GroupTiming {
            tick,
            heartbeat_ticks: 4,
            election_ticks,
            lease_ttl,
            seed: None,
        }
    }
}
