//! A holder's side: what it has asked for, what it was granted, and what it may have open at any moment. Every use of
//! a connection asks here first, so that a process that slept past its lease's end closes before it opens.

use std::collections::{BTreeMap, VecDeque};

use super::messages::{
    Grant, Instance, LeaseNumber, MemberIncarnation, PoolDemand, PoolGrant, Report, MAX_POOLS,
};
use crate::language::PoolId;

/// Reports that a lease may still answer; one that answers an earlier one is not used.
const MAX_PENDING_REPORTS: usize = 32;

/// What a holder may have open at one pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Allowance {
    /// All together, idle ones counted.
    pub total: u32,
    /// By member; without a lease no member is bounded by itself.
    pub members: Option<Vec<u32>>,
    /// For health checks and trials.
    pub trials: u32,
}

/// One instance's lease. Times are milliseconds of the instance's clock.
#[derive(Debug)]
pub struct LeaseHolder {
    instance: Instance,
    incarnation: MemberIncarnation,
    last_report: u64,
    pending_reports: VecDeque<PendingReport>,
    lease: Option<HeldLease>,
    closed_to: LeaseNumber,
    /// Of the policy whose standing shares it has closed down to.
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
    /// A holder without a lease.
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

    /// Whose it is.
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// A report, which asks for a lease that counts from `now` on.
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

    /// A lease was committed. Those of other instances, of an earlier incarnation, and old ones change nothing.
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

    /// When the lease ends, if one is held at `now`.
    pub fn ends_at(&self, now: f64) -> Option<f64> {
        self.lease_at(now).map(|lease| lease.ends_at)
    }

    fn lease_at(&self, now: f64) -> Option<&HeldLease> {
        self.lease.as_ref().filter(|lease| now < lease.ends_at)
    }

    /// What may be open from `now` up to `until`. `standing` is what the instance has without a lease, which counts
    /// once this incarnation had a first one: before, its lease table may be an old one.
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

    /// Looks at what is open at each pool: once it is no more than allowed, no earlier lease is relied on, and no
    /// earlier policy. `edition` is that of the newest policy received, and `standing` what the instance has without a
    /// lease by it.
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
