//! The durations on which a group's elections and leases depend.

/// Durations counted in ticks, which are never less than `tick` milliseconds apart.
#[derive(Clone, Copy, Debug)]
pub struct GroupTiming {
    /// The interval of ticks, in milliseconds.
    pub tick: f64,
    /// The interval of heartbeats, in ticks.
    pub heartbeat_ticks: u32,
    /// The election timeout, in ticks.
    pub election_ticks: u32,
    /// The duration of a lease, in milliseconds, from the send time of the heartbeat that a majority answered.
    pub lease_ttl: f64,
    /// Makes election timeouts a function of the seed, for tests. `None`: timeouts are drawn at random.
    pub seed: Option<u64>,
}

/// The maximum difference between the clock rates of two machines, as a fraction.
const MAX_CLOCK_DRIFT: f64 = 0.05;

impl GroupTiming {
    /// Derives the durations from those in the fleet file, all in milliseconds.
    ///
    /// A voter counts its election timeout in ticks, so the timeout may be up to one tick short. The remaining time,
    /// measured on a slow clock, must also cover `watchdog_timeout`, within which a stalled process may still act
    /// before the kernel kills it.
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
