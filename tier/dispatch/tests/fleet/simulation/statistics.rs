//! Random numbers and statistics of the simulated fleet.

use plankhill_dispatch::Ms;

use super::Fleet;

impl Fleet {
    /// Requests that the busiest server completed, as a multiple of the mean.
    #[allow(dead_code)] // not used by the digests
    pub fn busiest_ratio(&self) -> f64 {
        let completed = self.servers.iter().map(|server| server.completed);
        let (most, all) = completed.fold((0, 0), |(most, all), completed| {
            (most.max(completed), all + completed)
        });
        most as f64 * self.servers.len() as f64 / all as f64
    }

    pub(super) fn random(&mut self) -> f64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.rng_state >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(super) fn exponential(&mut self, mean: Ms) -> Ms {
        -mean * (1.0 - self.random()).ln()
    }
}
