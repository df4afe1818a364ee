//! Chance, and what the fleet came to.

use plankhill_dispatch::Ms;

use super::Fleet;

impl Fleet {
    /// Calls that the busiest server served, as a multiple of the mean.
    #[allow(dead_code)] // the digests do without
    pub fn busiest(&self) -> f64 {
        let served = self.servers.iter().map(|server| server.served);
        let (most, all) = served.fold((0, 0), |(most, all), served| {
            (most.max(served), all + served)
        });
        most as f64 * self.servers.len() as f64 / all as f64
    }

    pub(super) fn draw(&mut self) -> f64 {
        self.draws = self
            .draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.draws >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(super) fn spread(&mut self, mean: Ms) -> Ms {
        -mean * (1.0 - self.draw()).ln()
    }
}
