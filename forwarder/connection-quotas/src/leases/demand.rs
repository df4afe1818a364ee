//! What a forwarder wants of its pools, as decaying sums: how many connections were in use, and how often there
//! was no room.

/// One member's demand on one pool. Times are milliseconds of one clock that only grows.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    open: u32,
    /// Connections in use, times how long, faded.
    busy: f64,
    /// What `busy` would be with one in use all the time.
    span: f64,
    /// Times there was no room, faded.
    turned: f64,
    brought_up: f64,
}

/// Sums fade to a third within it, in milliseconds: long enough for a count of a few calls, short enough that
/// what a burst got is free again within some seconds.
const FADES: f64 = 2_000.0;

impl Demand {
    fn bring_up(&mut self, now: f64) {
        let passed = (now - self.brought_up).max(0.0);
        let keeps = (-passed / FADES).exp();
        self.busy = self.busy * keeps + f64::from(self.open) * FADES * (1.0 - keeps);
        self.span = self.span * keeps + FADES * (1.0 - keeps);
        self.turned *= keeps;
        self.brought_up = now;
    }

    pub fn opened(&mut self, now: f64) {
        self.bring_up(now);
        self.open += 1;
    }

    pub fn closed(&mut self, now: f64) {
        self.bring_up(now);
        self.open = self.open.saturating_sub(1);
    }

    /// There was no room for one more.
    pub fn turned_away(&mut self, now: f64) {
        self.bring_up(now);
        self.turned += 1.0;
    }

    /// Connections wanted: what is in use and its usual spread, and as many again at the most where there was
    /// no room, so that a report grows no faster than twofold.
    pub fn wants(&mut self, now: f64) -> u32 {
        self.bring_up(now);
        let usual = if self.span > 0.0 {
            self.busy / self.span
        } else {
            0.0
        };
        let used = f64::from(self.open).max(usual + usual.sqrt());
        let more = if self.turned < 0.1 {
            0.0
        } else {
            self.turned.min(used + 1.0)
        };
        (used + more - 0.05).max(0.0).ceil() as u32
    }

    /// Nothing of it is left that would matter.
    pub fn is_over(&mut self, now: f64) -> bool {
        self.wants(now) == 0 && self.open == 0
    }
}
