//! One forwarder's side of connection quotas, without I/O: what is open, what may be, what is wanted, and, while it
//! leads the control group, what the others get. The forwarder's server owns a [`LocalQuotas`], counts connections in
//! and out here, carries its bytes, and tells the time: milliseconds of a clock that only grows and counts a machine's
//! sleep.
//!
//! | module | job |
//! | --- | --- |
//! | `pool_counts` | what is open at one pool from here |
//! | `control_group` | what comes from the control group, and what is issued while it is led from here |

mod control_group;
mod pool_counts;

use std::collections::BTreeMap;

use crate::language::{Facts, MemberId, Policy, PoolId, OTHERS};
use crate::leases::{
    encode, Allowance, Instance, LeaseHolder, LeaseIssuer, LeaseTable, MemberIncarnation,
    PoolDemand,
};

pub use pool_counts::ConnectionUse;
use pool_counts::{ConnectionOrigin, PoolCounts};

/// Idle connections are closed so long before a lease ends, in milliseconds: a tick of the server and a busy event loop
/// fit between.
const CLOSING_TIME_MS: f64 = 250.0;

/// Whether a connection may be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No quota holds for the target.
    Unlimited,
    /// The connection is counted at that pool now.
    Admitted(PoolId),
    /// That pool has no capacity.
    Exhausted(PoolId),
}

/// What a forwarder is told of quotas at its start.
pub struct LocalQuotasConfig {
    /// Its own name.
    pub instance: Instance,
    /// This start of its process.
    pub incarnation: MemberIncarnation,
    /// The policy's text.
    pub text: String,
    /// The policy.
    pub policy: Policy,
    /// All instances of the fleet, with their zones.
    pub instances: Vec<(Instance, String)>,
    /// After so many milliseconds the kernel has ended a process that stands still.
    pub grace: f64,
}

/// One forwarder's side of connection quotas.
pub struct LocalQuotas {
    /// As its own file says: in force until one is agreed on, and to be agreed on if its edition is higher.
    own_policy: Policy,
    own_policy_text: String,
    instances: Vec<(Instance, String)>,
    grace: f64,
    table: LeaseTable,
    holder: LeaseHolder,
    targets: BTreeMap<String, KnownTarget>,
    pools: BTreeMap<PoolId, PoolCounts>,
    /// While it leads the control group.
    issuer: Option<LeaseIssuer>,
    next_report_at: f64,
}

struct KnownTarget {
    facts: Facts,
    warming_up_until: f64,
}

impl KnownTarget {
    fn is_counted_at(&self, pool: &PoolId) -> bool {
        match pool {
            PoolId::Target(name) => *name == self.facts.target,
            PoolId::Destination(number) => *number == self.facts.destination,
        }
    }
}

impl LocalQuotas {
    /// Nothing is open, and no policy is agreed on.
    pub fn new(config: LocalQuotasConfig) -> LocalQuotas {
        LocalQuotas {
            own_policy: config.policy,
            own_policy_text: config.text,
            instances: config.instances,
            grace: config.grace,
            table: LeaseTable::default(),
            holder: LeaseHolder::new(config.instance, config.incarnation),
            targets: BTreeMap::new(),
            pools: BTreeMap::new(),
            issuer: None,
            next_report_at: 0.0,
        }
    }

    /// Takes another policy than at the start, checked. It is in force once the fleet has agreed on it.
    pub fn set_policy(&mut self, text: String, policy: Policy) {
        self.own_policy_text = text;
        self.own_policy = policy;
    }

    /// The policy in force.
    pub fn policy(&self) -> &Policy {
        match self.table.policy() {
            Some((policy, _)) => policy,
            None => &self.own_policy,
        }
    }

    /// How often to report, and to look what is due, in milliseconds.
    pub fn renews(&self) -> f64 {
        self.policy().lease.renew
    }

    /// Adds a target, or replaces what is known of it.
    pub fn upsert_target(&mut self, facts: Facts) {
        let known = self.targets.get(&facts.target);
        let warming_up_until = known.map_or(f64::MIN, |known| known.warming_up_until);
        self.targets.insert(
            facts.target.clone(),
            KnownTarget {
                facts,
                warming_up_until,
            },
        );
    }

    /// Forgets a target.
    pub fn remove_target(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// The target is warming up until then.
    pub fn set_warming_up(&mut self, target: &str, until: f64) {
        if let Some(known) = self.targets.get_mut(target) {
            known.warming_up_until = until;
        }
    }

    fn pool_of(&self, target: &str) -> Option<(PoolId, &Facts)> {
        let known = self.targets.get(target)?;
        Some((self.policy().pool(&known.facts)?, &known.facts))
    }

    fn standing(&self, pool: &PoolId, facts: &Facts) -> u32 {
        match self.table.standing(facts, self.holder.instance()) {
            Some((counted, standing)) if counted == *pool => standing,
            _ => 0,
        }
    }

    /// The table's policies have changed.
    fn update_standing(&mut self) {
        let standing: Vec<u32> = self
            .pools
            .iter()
            .map(|(pool, counts)| self.standing(pool, counts.facts()))
            .collect();
        for (counts, standing) in self.pools.values_mut().zip(standing) {
            counts.set_standing(standing);
        }
    }

    /// What may be open at a pool up to `until`.
    fn allowance(&self, now: f64, until: f64, pool: &PoolId) -> Allowance {
        let standing = self.pools.get(pool).map_or(0, PoolCounts::standing);
        self.holder.allowance(now, until, pool, standing)
    }

    /// Counts a connection in, a new one or one that stood idle in `from`, for a use that is over by `until`.
    pub fn acquire(
        &mut self,
        now: f64,
        until: f64,
        target: &str,
        connection_use: ConnectionUse,
        from: Option<&PoolId>,
    ) -> Admission {
        let Some((pool, facts)) = self.pool_of(target) else {
            return Admission::Unlimited;
        };
        if !self.pools.contains_key(&pool) {
            let facts = facts.clone();
            let standing = self.standing(&pool, &facts);
            self.pools
                .insert(pool.clone(), PoolCounts::new(facts, standing));
        }
        let allowance = self.allowance(now, until, &pool);
        let members = self.policy().members.len();
        let origin = if from == Some(&pool) {
            ConnectionOrigin::Idle
        } else {
            ConnectionOrigin::New
        };
        let Some(counts) = self.pools.get_mut(&pool) else {
            return Admission::Exhausted(pool);
        };
        if counts.acquire(now, &allowance, connection_use, origin, members) {
            Admission::Admitted(pool)
        } else {
            Admission::Exhausted(pool)
        }
    }

    /// A connection's use is over, and it stays open. False where it has to be closed: it counts until it is.
    pub fn release_idle(&mut self, now: f64, pool: &PoolId, connection_use: ConnectionUse) -> bool {
        let Some(counts) = self.pools.get_mut(pool) else {
            return false;
        };
        counts.release_idle(now, connection_use);
        self.surplus_at(now, pool) == Some(0)
    }

    /// A connection was closed, from that use or as an idle one.
    pub fn connection_closed(
        &mut self,
        now: f64,
        pool: &PoolId,
        connection_use: Option<ConnectionUse>,
    ) {
        if let Some(counts) = self.pools.get_mut(pool) {
            counts.closed(now, connection_use);
        }
    }

    fn surplus_at(&self, now: f64, pool: &PoolId) -> Option<u32> {
        let counts = self.pools.get(pool)?;
        let allowed = self.allowance(now, now + CLOSING_TIME_MS, pool).total;
        Some(counts.total().saturating_sub(allowed).min(counts.idle()))
    }

    /// Idle connections that are to be closed, by pool.
    pub fn surplus(&self, now: f64) -> Vec<(PoolId, u32)> {
        let mut surplus = Vec::new();
        for pool in self.pools.keys() {
            match self.surplus_at(now, pool) {
                None | Some(0) => {}
                Some(connections) => surplus.push((pool.clone(), connections)),
            }
        }
        surplus
    }

    /// Whether one more might be counted in, so that a waiting use had better look again.
    pub fn has_capacity(&self, now: f64, pool: &PoolId) -> bool {
        match self.pools.get(pool) {
            Some(counts) => counts.busy() < self.allowance(now, now, pool).total,
            None => false,
        }
    }

    /// Whether all that may be open there is, some of it idle.
    pub fn is_exhausted(&self, now: f64, pool: &PoolId) -> bool {
        match self.pools.get(pool) {
            Some(counts) if counts.idle() > 0 => {
                counts.total() >= self.allowance(now, now, pool).total
            }
            _ => false,
        }
    }

    /// What it wants, in bytes for the leader, when that is due.
    pub fn report(&mut self, now: f64) -> Option<Vec<u8>> {
        if now < self.next_report_at {
            return None;
        }
        self.next_report_at = now + self.renews();
        let pools = self.pools.iter();
        let open: BTreeMap<PoolId, u32> = pools
            .map(|(pool, counts)| (pool.clone(), counts.total()))
            .collect();
        let edition = self.table.policy().map_or(0, |(policy, _)| policy.edition);
        let pools = &self.pools;
        let standing = |pool: &PoolId| pools.get(pool).map_or(0, PoolCounts::standing);
        self.holder.observe_open(now, &open, edition, standing);
        let demands = self.demands(now);
        self.pools.retain(|_, counts| !counts.is_over(now));
        Some(encode(&self.holder.report(now, demands)))
    }

    fn demands(&mut self, now: f64) -> Vec<PoolDemand> {
        let policy = self.policy().clone();
        let others = usize::from(policy.member(OTHERS).0);
        let targets = &self.targets;
        let mut demands = Vec::new();
        for (pool, counts) in &mut self.pools {
            let facts = pool_facts(now, pool, counts.facts(), targets);
            let wanted = counts.wanted(now);
            let mut members = wanted.members;
            let mut trials = wanted.trials;
            if policy.terms(&facts).is_some_and(|terms| terms.reserve == 0) {
                // Nothing is reserved for trials: they are as the events of others.
                members.resize(members.len().max(others + 1), 0);
                members[others] += trials;
                trials = 0;
            }
            demands.push(PoolDemand {
                facts,
                members,
                trials,
            });
        }
        demands
    }

    /// Connections open at a pool from here, idle ones counted.
    pub fn open(&self, pool: &PoolId) -> u32 {
        self.pools.get(pool).map_or(0, PoolCounts::total)
    }

    /// The position of a member in the policy in force.
    pub fn member(&self, name: &str) -> MemberId {
        self.policy().member(name)
    }
}

/// What is known of all targets of a pool together. `first` are the facts of the first target that was used there.
fn pool_facts(
    now: f64,
    pool: &PoolId,
    first: &Facts,
    targets: &BTreeMap<String, KnownTarget>,
) -> Facts {
    let known: Vec<&KnownTarget> = targets
        .values()
        .filter(|known| known.is_counted_at(pool))
        .collect();
    let mut facts = match known
        .iter()
        .find(|known| known.facts.target == first.target)
    {
        Some(known) => known.facts.clone(),
        None => first.clone(),
    };
    facts.cold = known.iter().any(|known| known.warming_up_until > now);
    facts.draining = !known.is_empty() && known.iter().all(|known| known.facts.draining);
    facts
}
