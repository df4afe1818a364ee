//! The spans of a group's promises.

/// Spans counted in ticks, which never come sooner than `tick` milliseconds after each other.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub tick: f64,
    pub heartbeat: u32,
    pub election: u32,
    /// Milliseconds from the sending of a heartbeat that a majority heard for which its sender holds.
    pub lease: f64,
    /// Makes election spans a function of it: for tests. None: drawn by chance.
    pub seed: Option<u64>,
}

/// How far clocks of two machines may run apart, as a share.
const DRIFT: f64 = 0.05;

impl Pace {
    /// A promise begins within a tick, so one tick of it may be missing; what a stalled process may still do
    /// before the kernel ends it has to fit into the rest, on a clock that is slow.
    pub fn new(heartbeat: f64, election: f64, stall: f64) -> Self {
        let tick = heartbeat / 4.0;
        let lease = (election - tick) / (1.0 + DRIFT) - stall;
        Pace {
            tick,
            heartbeat: 4,
            election: (election / tick).ceil() as u32,
            lease,
            seed: None,
        }
    }
}
