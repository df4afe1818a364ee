//! A forwarder's demand on a pool, estimated from decaying sums: the connections in use, and the number of rejections
//! because there was no capacity.

/// One member's demand on one pool. Times are milliseconds of a monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    open: u32,
    /// The decayed time integral of connections in use.
    busy: f64,
    /// The value of `busy` if one connection had been in use all the time.
    span: f64,
    /// The decayed number of rejections because there was no capacity.
    rejections: f64,
    updated_at: f64,
}

/// The time in which the sums decay to about a third, in milliseconds: long enough to cover a few calls, short enough
/// that the connections of a burst are free again within some seconds.
const DECAY_TIME_MS: f64 = 2_000.0;

impl Demand {
    fn update(&mut self, now: f64) {
        let elapsed = (now - self.updated_at).max(0.0);
        let decay = (-elapsed / DECAY_TIME_MS).exp();
        self.busy = self.busy * decay + f64::from(self.open) * DECAY_TIME_MS * (1.0 - decay);
        self.span = self.span * decay + DECAY_TIME_MS * (1.0 - decay);
        self.rejections *= decay;
        self.updated_at = now;
    }

    /// Records that a connection came into use.
    pub fn opened(&mut self, now: f64) {
        self.update(now);
        self.open += 1;
    }

    /// Records that a connection is no longer in use.
    pub fn closed(&mut self, now: f64) {
        self.update(now);
        self.open = self.open.saturating_sub(1);
    }

    /// Records that a connection was rejected because there was no capacity.
    pub fn rejected(&mut self, now: f64) {
        self.update(now);
        self.rejections += 1.0;
    }

    /// The number of connections wanted: those in use, or their average plus its square root if that is extra, plus
    /// recent rejections. Rejections add at most as many connections as are used and one extra, so that the demand
    /// grows about twofold at most from one report to the next.
    pub fn wanted(&mut self, now: f64) -> u32 {
        self.update(now);
        let average = if self.span > 0.0 {
            self.busy / self.span
        } else {
            0.0
        };
        let used = f64::from(self.open).max(average + average.sqrt());
        let extra = if self.rejections < 0.1 {
            0.0
        } else {
            self.rejections.min(used + 1.0)
        };
        (used + extra - 0.05).max(0.0).ceil() as u32
    }

    /// Whether no connection is in use and none is wanted.
    pub fn is_zero(&mut self, now: f64) -> bool {
        self.wanted(now) == 0 && self.open == 0
    }
}
