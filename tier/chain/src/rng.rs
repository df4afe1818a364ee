//! The member's random numbers: a seed comes in, so that a simulated world can be repeated.

/// Xorshift generator (Marsaglia, "Xorshift RNGs", 2003).
#[derive(Clone, Debug)]
pub(crate) struct Rng {
    state: u64,
}

impl Rng {
    /// The seed may not be 0, from which the generator would never leave.
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// A random number below `bound`.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state % bound.max(1)
    }
}
