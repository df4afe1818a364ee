use plankhill_connection_quotas::leases::{Instance, LeaseHolder, LeaseIssuer, LeaseTable};

use super::{pool, TIME_OUT};

/// One instance with its current process.
pub struct Process {
    pub name: Instance,
    pub rate: f64,
    pub offset: f64,
    pub holder: LeaseHolder,
    pub table: LeaseTable,
    pub applied: usize,
    /// The snapshot on disk, with the number of log entries applied in it.
    pub snapshot: (usize, Vec<u8>),
    /// Open connections: the end of the call on the instance's clock, `None` for an idle connection.
    pub open: Vec<Option<f64>>,
    pub demand: u32,
    pub stalled_until: f64,
    pub down_until: f64,
    /// The process stalled between checking its allowance and opening a connection.
    pub opens_after_stall: bool,
    pub next_report_at: f64,
    pub issuer: Option<(u64, LeaseIssuer)>,
    /// The instance's standing share according to its own table.
    pub standing: u32,
    pub ignores_expiry: bool,
}

impl Process {
    pub fn clock(&self, now: f64) -> f64 {
        self.offset + now * self.rate
    }

    /// Whether the lease is about to expire, which is when a stall is most harmful.
    pub fn is_near_expiry(&self, now: f64) -> bool {
        let clock = self.clock(now);
        self.holder
            .ends_at(clock)
            .is_some_and(|ends| ends - clock < 50.0)
            && self.stalled_until <= now
    }

    pub fn allowance(&self, clock: f64, until: f64) -> u32 {
        let (clock, until) = if self.ignores_expiry {
            (f64::MIN, f64::MIN)
        } else {
            (clock, until)
        };
        self.holder
            .allowance(clock, until, &pool(), self.standing)
            .total
    }

    /// The number of connections that may be opened for calls of up to `TIME_OUT`.
    pub fn free_capacity(&self, now: f64) -> u32 {
        let clock = self.clock(now);
        self.allowance(clock, clock + TIME_OUT)
            .saturating_sub(self.open.len() as u32)
    }
}
