//! The lease issuer: the instance that leads. It receives what all want, works out their shares, and proposes leases
//! that fit beside those that are held; it waits out those that may still be held. What it knows by itself is lost with
//! it: the next issuer receives the demands again, and waits out all leases of the table from its own beginning.

use std::collections::{BTreeMap, BTreeSet};

use super::lease_table::{LeaseTable, Outcome};
use super::messages::{Command, Grant, Instance, LeaseNumber, PoolDemand, PoolGrant, Report};
use crate::language::{Facts, PoolId, PoolTerms};
use crate::split::{max_min_shares, split, Claim, ForwarderDemand, RoundingCarry, Share};

/// What rounding owes moves on once in so many renewals: a share stays for some, then another has its chance.
const RENEWALS_PER_TURN: f64 = 3.0;
/// More than any quota: sums over a thousand instances stay far from what 32 bits hold.
const MAX_WANTED: u32 = 20_000;

/// Issues leases. Times are milliseconds of the issuer's clock.
#[derive(Debug)]
pub struct LeaseIssuer {
    /// Added to each lease, in milliseconds of a true clock.
    grace: f64,
    reports: BTreeMap<Instance, ReceivedReport>,
    /// When each lease that may be held has surely ended.
    ends_at: BTreeMap<(Instance, LeaseNumber), f64>,
    /// Proposed and not committed yet: the most that each instance may come to have by it.
    pending: BTreeMap<Instance, Grant>,
    rounding: BTreeMap<PoolId, PoolRounding>,
}

#[derive(Debug)]
struct ReceivedReport {
    report: Report,
    received_at: f64,
}

/// What rounding owes at one pool.
#[derive(Debug)]
struct PoolRounding {
    /// When it last moved on.
    turned_at: f64,
    carry: RoundingCarry,
}

/// A pool with all that anyone knows of it, and what holds there.
struct KnownPool {
    pool: PoolId,
    facts: Facts,
    terms: PoolTerms,
}

impl LeaseIssuer {
    /// Begins to issue. `grace`: after so many milliseconds a process that stands still has been ended.
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

    /// A command was committed, and the table has applied or refused it.
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

    /// A proposal of its own surely never is committed.
    pub fn discarded(&mut self, command: &Command) {
        if let Command::Grant(grant) = command {
            self.pending.remove(&grant.instance);
        }
    }

    /// A lease for an instance that asks, as far as it fits beside those that are held.
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
        // An instance goes by the newest policy once it has received it; until then it gets nothing by it.
        let knows_policy = report.edition == edition;
        self.reports.insert(
            name.clone(),
            ReceivedReport {
                report,
                received_at: now,
            },
        );
        self.reports
            .retain(|_, received| now - received.received_at < ttl);
        if !knows_policy {
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

    /// What is to be proposed by now: the ends of leases that have surely ended, and a policy that all instances have
    /// received.
    pub fn due(&mut self, now: f64, table: &LeaseTable) -> Vec<Command> {
        let mut commands = Vec::new();
        for (instance, leases) in table.open() {
            let has_ended = |number: LeaseNumber| {
                let ends_at = self.ends_at.get(&(instance.clone(), number));
                ends_at.is_some_and(|ends_at| *ends_at <= now)
            };
            // All leases up to the last one: one that ends later than a later one holds those back.
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
                .unsettled()
                .map(|edition| Command::Settled { edition }),
        );
        commands
    }

    /// The shares of one instance in all pools that it wants something of.
    fn shares(&mut self, now: f64, table: &LeaseTable, name: &Instance) -> Vec<PoolGrant> {
        let Some(received) = self.reports.get(name) else {
            return Vec::new();
        };
        let mut shares: BTreeMap<PoolId, PoolGrant> = BTreeMap::new();
        for demand in received.report.demands.clone() {
            let Some(known) = self.known_pool(table, &demand.facts) else {
                continue;
            };
            if shares.contains_key(&known.pool) {
                continue;
            }
            let wanted = self.fair_share(now, table, &known, name);
            let share = self.fitting_share(table, &known, name, wanted);
            let KnownPool { pool, facts, .. } = known;
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

    fn known_pool(&self, table: &LeaseTable, facts: &Facts) -> Option<KnownPool> {
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
        Some(KnownPool { pool, facts, terms })
    }

    /// An instance's share by the split over all that want some.
    fn fair_share(
        &mut self,
        now: f64,
        table: &LeaseTable,
        known: &KnownPool,
        name: &Instance,
    ) -> Share {
        let KnownPool { pool, facts, terms } = known;
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
                    add(&mut demand, wanted, terms.members.len());
                }
            }
            demands.insert(position as u16, demand);
        }
        let rounding = self
            .rounding
            .entry(pool.clone())
            .or_insert_with(|| PoolRounding {
                turned_at: now,
                carry: RoundingCarry::new(),
            });
        let mut carry = rounding.carry.clone();
        let mut shares = split(terms, terms.standing, &demands, &mut carry);
        if now - rounding.turned_at >= RENEWALS_PER_TURN * policy.lease.renew {
            *rounding = PoolRounding {
                turned_at: now,
                carry,
            };
        }
        shares.remove(&own_position).unwrap_or_default()
    }

    /// As much of a share as fits beside what all others may have open.
    fn fitting_share(
        &self,
        table: &LeaseTable,
        known: &KnownPool,
        name: &Instance,
        wanted: Share,
    ) -> Share {
        let KnownPool { pool, facts, terms } = known;
        let mut others = table.counted(pool, facts, Some(name));
        for (instance, grant) in self
            .pending
            .iter()
            .filter(|(instance, _)| *instance != name)
        {
            // Committed or not, the larger counts.
            let share = grant.pools.iter().find(|share| share.pool == *pool);
            let asked = share.map_or(0, PoolGrant::total);
            others += asked.saturating_sub(table.counted_of(pool, facts, instance));
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

/// Whether the newest policy counts a target's connections at that pool.
fn is_counted_at(table: &LeaseTable, facts: &Facts, pool: &PoolId) -> bool {
    let counted_at = table.policy().and_then(|(policy, _)| policy.pool(facts));
    counted_at.as_ref() == Some(pool)
}

fn add(demand: &mut ForwarderDemand, wanted: &PoolDemand, members: usize) {
    demand.members.resize(members, 0);
    for (sum, wanted) in demand.members.iter_mut().zip(&wanted.members) {
        *sum = sum.saturating_add(*wanted).min(MAX_WANTED);
    }
    demand.trials = demand.trials.saturating_add(wanted.trials).min(MAX_WANTED);
}
