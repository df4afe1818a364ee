//! Deterministic random numbers of a member: the caller provides the seed, so that a simulation can
//! be repeated.

/// Xorshift generator (Marsaglia, "Xorshift RNGs", 2003).
#[derive(Clone, Debug)]
pub(crate) struct Rng {
    state: u64,
}

impl Rng {
    /// Creates a generator. The seed must not be 0: from state 0 the generator returns only zeros.
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns a random number below `bound`; 0 if `bound` is 0.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state % bound.max(1)
    }
}
