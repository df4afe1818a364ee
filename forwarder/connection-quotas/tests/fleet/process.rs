use plankhill_connection_quotas::leases::{Instance, LeaseHolder, LeaseIssuer, LeaseTable};

use super::{pool, TIME_OUT};

/// One instance, with the process that is its latest.
pub struct Process {
    pub name: Instance,
    pub rate: f64,
    pub ahead: f64,
    pub holder: LeaseHolder,
    pub book: LeaseTable,
    pub heard: usize,
    /// A snapshot on its disk, with what it had heard by then.
    pub saved: (usize, Vec<u8>),
    /// Ends of calls on its own clock; an idle connection has none.
    pub open: Vec<Option<f64>>,
    pub wants: u32,
    pub stalled_until: f64,
    pub down_until: f64,
    /// It stood still between the look at its lease and the opening.
    pub about_to_open: bool,
    pub reports_at: f64,
    pub gives: Option<(u64, LeaseIssuer)>,
    /// What its book says of it without a lease.
    pub standing: u32,
    pub ends_ignored: bool,
}

impl Process {
    pub fn clock(&self, now: f64) -> f64 {
        self.ahead + now * self.rate
    }

    /// Where a stall does most harm.
    pub fn is_near_its_end(&self, now: f64) -> bool {
        let clock = self.clock(now);
        self.holder
            .ends_at(clock)
            .is_some_and(|ends| ends - clock < 50.0)
            && self.stalled_until <= now
    }

    pub fn allowance(&self, clock: f64, until: f64) -> u32 {
        let (clock, until) = if self.ends_ignored {
            (f64::MIN, f64::MIN)
        } else {
            (clock, until)
        };
        self.holder
            .allowance(clock, until, &pool(), self.standing)
            .total
    }

    /// For calls that end in time.
    pub fn room(&self, now: f64) -> u32 {
        let clock = self.clock(now);
        self.allowance(clock, clock + TIME_OUT)
            .saturating_sub(self.open.len() as u32)
    }
}
