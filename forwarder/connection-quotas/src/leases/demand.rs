//! What a forwarder wants of its pools, as decaying sums: how many connections were in use, and how often there was no
//! capacity.

/// One member's demand on one pool. Times are milliseconds of one clock that only grows.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    open: u32,
    /// Connections in use, times how long, decayed.
    busy: f64,
    /// What `busy` would be with one connection in use all the time.
    span: f64,
    /// How often there was no capacity, decayed.
    rejections: f64,
    updated_at: f64,
}

/// Sums decay to a third within it, in milliseconds: long enough for a count of a few calls, short enough that the
/// connections of a burst are free again within some seconds.
const DECAY_TIME_MS: f64 = 2_000.0;

impl Demand {
    fn update(&mut self, now: f64) {
        let elapsed = (now - self.updated_at).max(0.0);
        let kept = (-elapsed / DECAY_TIME_MS).exp();
        self.busy = self.busy * kept + f64::from(self.open) * DECAY_TIME_MS * (1.0 - kept);
        self.span = self.span * kept + DECAY_TIME_MS * (1.0 - kept);
        self.rejections *= kept;
        self.updated_at = now;
    }

    /// A connection came into use.
    pub fn opened(&mut self, now: f64) {
        self.update(now);
        self.open += 1;
    }

    /// A connection is in use no longer.
    pub fn closed(&mut self, now: f64) {
        self.update(now);
        self.open = self.open.saturating_sub(1);
    }

    /// There was no capacity for one more.
    pub fn rejected(&mut self, now: f64) {
        self.update(now);
        self.rejections += 1.0;
    }

    /// Connections wanted: those in use and their usual spread, and as many again at the most where there was no
    /// capacity, so that a report grows no faster than twofold.
    pub fn wanted(&mut self, now: f64) -> u32 {
        self.update(now);
        let usual = if self.span > 0.0 {
            self.busy / self.span
        } else {
            0.0
        };
        let used = f64::from(self.open).max(usual + usual.sqrt());
        let more = if self.rejections < 0.1 {
            0.0
        } else {
            self.rejections.min(used + 1.0)
        };
        (used + more - 0.05).max(0.0).ceil() as u32
    }

    /// Whether nothing of it is left that would matter.
    pub fn is_over(&mut self, now: f64) -> bool {
        self.wanted(now) == 0 && self.open == 0
    }
}
