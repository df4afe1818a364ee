//! The dispatcher's settings.

use plankhill_protocol::ids::ZoneName;

/// The settings of a dispatcher, given once at the start of its process.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Seed of the random number generator; differs between proxies.
    pub seed: u64,
    /// The proxy's zone.
    pub zone: ZoneName,
    /// Maximum number of requests queued or in flight at once. Beyond it, queued requests are
    /// rejected, the least urgent first.
    pub max_requests: usize,
}
