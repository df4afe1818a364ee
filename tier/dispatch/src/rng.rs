//! The dispatcher's random number generator.

/// A linear congruential generator with Knuth's MMIX constants (The Art of Computer Programming,
/// volume 2, section 3.3.4): the same seed gives the same sequence on every machine.
#[derive(Debug)]
pub(crate) struct Rng {
    state: u64,
}

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Rng { state: seed }
    }

    /// A number from 0 (included) to 1 (excluded).
    pub(crate) fn uniform(&mut self) -> f64 {
        const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
        const INCREMENT: u64 = 1_442_695_040_888_963_407;
        self.state = self.state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        // The upper 53 bits fill the significand of an f64.
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }
}
