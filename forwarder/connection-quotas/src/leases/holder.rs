//! The holder of leases: its pending reports, its granted lease, and the number of connections it may have open at any
//! time. Every use of a connection checks the allowance first, so that a process that was suspended past the expiry of
//! its lease closes connections before it opens new ones.

use std::collections::{BTreeMap, VecDeque};

use super::messages::{
    Grant, Instance, LeaseNumber, MemberIncarnation, PoolDemand, PoolGrant, Report, MAX_POOLS,
};
use crate::language::PoolId;

/// Maximum number of reports that a grant may still answer. A grant that answers an older report is ignored.
const MAX_PENDING_REPORTS: usize = 32;

/// The connections that a holder may have open at one pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Allowance {
    /// All connections, including idle ones.
    pub total: u32,
    /// Limits by member. `None` without a lease: then only the total is limited.
    pub members: Option<Vec<u32>>,
    /// Connections for health checks and trials.
    pub trials: u32,
}

/// The lease state of one instance. Times are milliseconds of the instance's clock.
#[derive(Debug)]
pub struct LeaseHolder {
    instance: Instance,
    incarnation: MemberIncarnation,
    last_report: u64,
    pending_reports: VecDeque<PendingReport>,
    lease: Option<HeldLease>,
    closed_to: LeaseNumber,
    /// The edition of the policy whose standing shares this instance has closed connections down to.
    edition: u64,
}

#[derive(Debug)]
struct PendingReport {
    number: u64,
    made_at: f64,
}

#[derive(Debug)]
struct HeldLease {
    number: LeaseNumber,
    ends_at: f64,
    pools: BTreeMap<PoolId, PoolGrant>,
}

impl LeaseHolder {
    /// Creates a holder without a lease.
    pub fn new(instance: Instance, incarnation: MemberIncarnation) -> Self {
        LeaseHolder {
            instance,
            incarnation,
            last_report: 0,
            pending_reports: VecDeque::new(),
            lease: None,
            closed_to: LeaseNumber(0),
            edition: 0,
        }
    }

    /// The instance that holds the lease.
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// Makes a report, which requests a lease. The time to live of that lease starts at `now`.
    pub fn report(&mut self, now: f64, mut demands: Vec<PoolDemand>) -> Report {
        self.last_report += 1;
        let number = self.last_report;
        self.pending_reports.push_back(PendingReport {
            number,
            made_at: now,
        });
        if self.pending_reports.len() > MAX_PENDING_REPORTS {
            self.pending_reports.pop_front();
        }
        demands.truncate(MAX_POOLS);
        Report {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            number,
            closed_to: self.closed_to,
            edition: self.edition,
            demands,
        }
    }

    /// Takes over a committed lease. Leases of other instances, of other incarnations, and older leases are ignored.
    pub fn granted(&mut self, grant: &Grant) {
        let is_own = grant.instance == self.instance && grant.incarnation == self.incarnation;
        let is_newer = self
            .lease
            .as_ref()
            .is_none_or(|lease| lease.number < grant.number);
        if !is_own || !is_newer {
            return;
        }
        let report = self
            .pending_reports
            .iter()
            .find(|report| report.number == grant.report);
        let Some(report) = report else {
            return;
        };
        let pools = grant
            .pools
            .iter()
            .map(|share| (share.pool.clone(), share.clone()));
        self.lease = Some(HeldLease {
            number: grant.number,
            ends_at: report.made_at + grant.ttl,
            pools: pools.collect(),
        });
        self.pending_reports
            .retain(|report| report.number > grant.report);
    }

    /// The expiry of the lease, if one is held at `now`.
    pub fn ends_at(&self, now: f64) -> Option<f64> {
        self.lease_at(now).map(|lease| lease.ends_at)
    }

    fn lease_at(&self, now: f64) -> Option<&HeldLease> {
        self.lease.as_ref().filter(|lease| now < lease.ends_at)
    }

    /// The connections that may be open from `now` up to `until`. `standing` is the share that the instance has without
    /// a lease. It is not used until this incarnation has received a first lease: before that, the local lease table
    /// may be outdated.
    pub fn allowance(&self, now: f64, until: f64, pool: &PoolId, standing: u32) -> Allowance {
        let standing = if self.lease.is_some() { standing } else { 0 };
        let lease = self.lease_at(now).filter(|lease| until <= lease.ends_at);
        match lease.and_then(|lease| lease.pools.get(pool)) {
            Some(share) if share.total() > standing => Allowance {
                total: share.total(),
                members: Some(share.members.clone()),
                trials: share.trials,
            },
            _ => Allowance {
                total: standing,
                members: None,
                trials: 0,
            },
        }
    }

    /// Checks the open connections of each pool. Once none exceeds its allowance, this instance no longer relies on
    /// earlier leases or earlier policies, and the next report includes that. `edition` is the edition of the newest
    /// policy received, and `standing` the share that the instance has by it without a lease.
    pub fn observe_open(
        &mut self,
        now: f64,
        open: &BTreeMap<PoolId, u32>,
        edition: u64,
        standing: impl Fn(&PoolId) -> u32,
    ) {
        let is_within = open
            .iter()
            .all(|(pool, open)| *open <= self.allowance(now, now, pool, standing(pool)).total);
        if !is_within {
            return;
        }
        self.edition = edition;
        if let Some(number) = self.lease_at(now).map(|lease| lease.number) {
            self.closed_to = number;
        }
    }
}
