//! The lease issuer, which runs on the leader. It receives the demands of all instances, computes their shares, proposes
//! leases that fit beside those still held, and waits for the expiry of leases. Its own state is not replicated: the next
//! issuer receives the demands again, and waits for the expiry of all leases in the table, counted from its own start.

use std::collections::{BTreeMap, BTreeSet};

use super::lease_table::{LeaseTable, Outcome};
use super::messages::{Command, Grant, Instance, LeaseNumber, PoolDemand, PoolGrant, Report};
use crate::language::{Facts, PoolId, PoolTerms};
use crate::split::{max_min_shares, split, Claim, ForwarderDemand, RoundingCarry, Share};

/// Renewals after which the accumulated rounding errors of a pool are updated. A share stays the same for some renewals,
/// then the remainder goes to another instance.
const RENEWALS_PER_CARRY_UPDATE: f64 = 3.0;
/// Maximum demand of one instance, above any quota. The sum over a thousand instances stays far below the range of
/// 32 bits.
const MAX_WANTED: u32 = 20_000;

/// Issues leases. Times are milliseconds of the issuer's clock.
#[derive(Debug)]
pub struct LeaseIssuer {
    /// Time that is added to each lease, in milliseconds of a clock without drift.
    grace: f64,
    reports: BTreeMap<Instance, ReceivedReport>,
    /// The time at which each lease that may still be held has certainly expired.
    ends_at: BTreeMap<(Instance, LeaseNumber), f64>,
    /// Grants that are proposed and not yet committed, by instance.
    pending: BTreeMap<Instance, Grant>,
    rounding: BTreeMap<PoolId, PoolRounding>,
}

#[derive(Debug)]
struct ReceivedReport {
    report: Report,
    received_at: f64,
}

/// The accumulated rounding errors of one pool.
#[derive(Debug)]
struct PoolRounding {
    /// The time of the last update of `carry`.
    updated_at: f64,
    carry: RoundingCarry,
}

/// A pool with the combined facts of all demands on it, and its terms.
struct ResolvedPool {
    pool: PoolId,
    facts: Facts,
    terms: PoolTerms,
}

impl LeaseIssuer {
    /// Creates the issuer of a new leader. `grace` is the time in milliseconds after which a stalled process has been
    /// killed.
    pub fn new(now: f64, grace: f64, table: &LeaseTable) -> Self {
        let mut ends_at = BTreeMap::new();
        for (name, leases) in table.open() {
            for lease in leases {
                ends_at.insert((name.clone(), lease.number), now + lease.counted_for);
            }
        }
        LeaseIssuer {
            grace,
            reports: BTreeMap::new(),
            ends_at,
            pending: BTreeMap::new(),
            rounding: BTreeMap::new(),
        }
    }

    /// Records that a command was committed and that the table has applied or refused it.
    pub fn applied(&mut self, now: f64, command: &Command, outcome: Outcome) {
        let Command::Grant(grant) = command else {
            return;
        };
        let pending = self.pending.get(&grant.instance);
        if pending.is_some_and(|pending| pending.number == grant.number) {
            self.pending.remove(&grant.instance);
        }
        if outcome == Outcome::Applied {
            let ends_at = now + grant.counted_for();
            self.ends_at
                .insert((grant.instance.clone(), grant.number), ends_at);
        }
    }

    /// Records that a proposal of this issuer will never be committed.
    pub fn discarded(&mut self, command: &Command) {
        if let Command::Grant(grant) = command {
            self.pending.remove(&grant.instance);
        }
    }

    /// Handles a report: returns a grant to propose for the reporting instance, reduced to what fits beside the leases
    /// that are held.
    pub fn reported(&mut self, now: f64, table: &LeaseTable, report: Report) -> Option<Command> {
        let (policy, instances) = table.policy()?;
        let edition = policy.edition;
        let ttl = policy.lease.lasts;
        let drift = policy.lease.drift;
        let name = report.instance.clone();
        let is_listed = instances.iter().any(|(listed, _)| *listed == name);
        if !is_listed || self.is_stale(&report) || self.pending.contains_key(&name) {
            return None;
        }
        let Report {
            incarnation,
            number: report_number,
            closed_to,
            ..
        } = report;
        // An instance applies the newest policy once it has received it; until then it is granted nothing.
        let has_newest_policy = report.edition == edition;
        self.reports.insert(
            name.clone(),
            ReceivedReport {
                report,
                received_at: now,
            },
        );
        self.reports
            .retain(|_, received| now - received.received_at < ttl);
        if !has_newest_policy {
            return None;
        }
        let grant = Grant {
            incarnation,
            report: report_number,
            closed_to,
            edition,
            number: LeaseNumber(table.newest(&name).0 + 1),
            ttl,
            grace: self.grace,
            drift,
            pools: self.shares(now, table, &name),
            instance: name.clone(),
        };
        self.pending.insert(name, grant.clone());
        Some(Command::Grant(grant))
    }

    fn is_stale(&self, report: &Report) -> bool {
        self.reports.get(&report.instance).is_some_and(|last| {
            last.report.incarnation == report.incarnation && last.report.number >= report.number
        })
    }

    /// The commands to propose now: the end of leases that have certainly expired, and the settling of a policy that all
    /// instances have received.
    pub fn due(&mut self, now: f64, table: &LeaseTable) -> Vec<Command> {
        let mut commands = Vec::new();
        for (instance, leases) in table.open() {
            let has_ended = |number: LeaseNumber| {
                let ends_at = self.ends_at.get(&(instance.clone(), number));
                ends_at.is_some_and(|ends_at| *ends_at <= now)
            };
            // The command ends all leases up to a number: a lease that expires later than its successors delays their
            // end.
            let numbers = leases.iter().map(|lease| lease.number);
            if let Some(number) = numbers.take_while(|number| has_ended(*number)).last() {
                commands.push(Command::Ended {
                    instance: instance.clone(),
                    number,
                });
            }
        }
        let open: BTreeSet<(Instance, LeaseNumber)> = table
            .open()
            .flat_map(|(name, leases)| leases.iter().map(|lease| (name.clone(), lease.number)))
            .collect();
        self.ends_at.retain(|lease, _| open.contains(lease));
        commands.extend(
            table
                .settleable_edition()
                .map(|edition| Command::Settled { edition }),
        );
        commands
    }

    /// The shares of one instance in all pools that it has demands on.
    fn shares(&mut self, now: f64, table: &LeaseTable, name: &Instance) -> Vec<PoolGrant> {
        let Some(received) = self.reports.get(name) else {
            return Vec::new();
        };
        let mut shares: BTreeMap<PoolId, PoolGrant> = BTreeMap::new();
        for demand in received.report.demands.clone() {
            let Some(resolved) = self.resolve_pool(table, &demand.facts) else {
                continue;
            };
            if shares.contains_key(&resolved.pool) {
                continue;
            }
            let wanted = self.fair_share(now, table, &resolved, name);
            let share = self.fitting_share(table, &resolved, name, wanted);
            let ResolvedPool { pool, facts, .. } = resolved;
            let grant = PoolGrant {
                pool: pool.clone(),
                facts,
                members: share.members,
                trials: share.trials,
            };
            shares.insert(pool, grant);
        }
        shares.into_values().collect()
    }

    fn resolve_pool(&self, table: &LeaseTable, facts: &Facts) -> Option<ResolvedPool> {
        let (policy, _) = table.policy()?;
        let pool = policy.pool(facts)?;
        let mut facts = facts.clone();
        let demands = self
            .reports
            .values()
            .flat_map(|received| &received.report.demands);
        for demand in demands.filter(|demand| is_counted_at(table, &demand.facts, &pool)) {
            facts.cold |= demand.facts.cold;
            facts.draining |= demand.facts.draining;
        }
        let terms = policy.terms(&facts)?;
        Some(ResolvedPool { pool, facts, terms })
    }

    /// An instance's share, by the split over all instances with demands.
    fn fair_share(
        &mut self,
        now: f64,
        table: &LeaseTable,
        resolved: &ResolvedPool,
        name: &Instance,
    ) -> Share {
        let ResolvedPool { pool, facts, terms } = resolved;
        let Some((policy, instances)) = table.policy() else {
            return Share::default();
        };
        let mut demands: BTreeMap<u16, ForwarderDemand> = BTreeMap::new();
        let mut own_position = 0;
        let standing = table.all_standing(pool, facts);
        for (position, (instance, zone)) in instances.iter().enumerate() {
            if instance == name {
                own_position = position as u16;
            }
            let Some(received) = self.reports.get(instance) else {
                continue;
            };
            let mut demand = ForwarderDemand {
                standing: standing.get(position).copied().unwrap_or(0),
                is_near: !zone.is_empty() && *zone == facts.zone,
                ..ForwarderDemand::default()
            };
            for wanted in &received.report.demands {
                if is_counted_at(table, &wanted.facts, pool) {
                    add_demand(&mut demand, wanted, terms.members.len());
                }
            }
            demands.insert(position as u16, demand);
        }
        let rounding = self
            .rounding
            .entry(pool.clone())
            .or_insert_with(|| PoolRounding {
                updated_at: now,
                carry: RoundingCarry::new(),
            });
        let mut carry = rounding.carry.clone();
        let mut shares = split(terms, terms.standing, &demands, &mut carry);
        if now - rounding.updated_at >= RENEWALS_PER_CARRY_UPDATE * policy.lease.renew {
            *rounding = PoolRounding {
                updated_at: now,
                carry,
            };
        }
        shares.remove(&own_position).unwrap_or_default()
    }

    /// Reduces a share to what fits beside the connections that all other instances may have open.
    fn fitting_share(
        &self,
        table: &LeaseTable,
        resolved: &ResolvedPool,
        name: &Instance,
        wanted: Share,
    ) -> Share {
        let ResolvedPool { pool, facts, terms } = resolved;
        let mut others = table.counted(pool, facts, Some(name));
        for (instance, grant) in self
            .pending
            .iter()
            .filter(|(instance, _)| *instance != name)
        {
            // The grant may be committed or not: the larger share is counted.
            let share = grant.pools.iter().find(|share| share.pool == *pool);
            let granted = share.map_or(0, PoolGrant::total);
            others += granted.saturating_sub(table.counted_for_instance(pool, facts, instance));
        }
        let free = terms.connections.saturating_sub(others);
        if wanted.total() <= free {
            return wanted;
        }
        let trials = wanted.trials.min(free);
        let claims = wanted.members.iter().map(|connections| Claim {
            weight: f64::from(*connections),
            min: 0,
            max: *connections,
            carry: 0.0,
        });
        let claims: Vec<Claim> = claims.collect();
        let members = max_min_shares(free - trials, &claims).shares;
        Share { members, trials }
    }
}

/// Whether the newest policy counts a target's connections in that pool.
fn is_counted_at(table: &LeaseTable, facts: &Facts, pool: &PoolId) -> bool {
    let counted_at = table.policy().and_then(|(policy, _)| policy.pool(facts));
    counted_at.as_ref() == Some(pool)
}

fn add_demand(demand: &mut ForwarderDemand, wanted: &PoolDemand, members: usize) {
    demand.members.resize(members, 0);
    for (sum, wanted) in demand.members.iter_mut().zip(&wanted.members) {
        *sum = sum.saturating_add(*wanted).min(MAX_WANTED);
    }
    demand.trials = demand.trials.saturating_add(wanted.trials).min(MAX_WANTED);
}
