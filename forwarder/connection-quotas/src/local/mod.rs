//! One forwarder's state of connection quotas, without I/O: the connections that are open, allowed and wanted, and, while
//! it leads the control group, the leases of all instances. The forwarder's server owns a [`LocalQuotas`], reports opened
//! and closed connections to it, sends its encoded messages, and passes in the time: milliseconds of a monotonic clock
//! that includes the time in which the machine is suspended.
//!
//! | module | job |
//! | --- | --- |
//! | `pool_counts` | the connections of one pool that this forwarder has open |
//! | `control_group` | input from the control group, and the commands to propose while this instance leads it |

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

/// Time before the end of a lease at which surplus idle connections are closed, in milliseconds: long enough for a tick
/// of the server and a busy event loop.
const CLOSING_TIME_MS: f64 = 250.0;

/// The result of a request for a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No quota applies to the target.
    Unlimited,
    /// The connection is now counted in the pool.
    Admitted(PoolId),
    /// The pool has no capacity.
    Exhausted(PoolId),
}

/// The initial configuration of a forwarder's connection quotas.
pub struct LocalQuotasConfig {
    /// The forwarder's own name.
    pub instance: Instance,
    /// The incarnation of this process.
    pub incarnation: MemberIncarnation,
    /// The policy's text.
    pub text: String,
    /// The policy that was read from `text`.
    pub policy: Policy,
    /// All instances of the fleet, with their zones.
    pub instances: Vec<(Instance, String)>,
    /// Time after which a stalled process has been killed by the kernel, in milliseconds.
    pub grace: f64,
}

/// One forwarder's state of connection quotas.
pub struct LocalQuotas {
    /// The policy of the local file. It is in force until the control group has committed a policy, and is proposed to the
    /// control group if its edition is higher than that of the committed one.
    own_policy: Policy,
    own_policy_text: String,
    instances: Vec<(Instance, String)>,
    grace: f64,
    table: LeaseTable,
    holder: LeaseHolder,
    targets: BTreeMap<String, KnownTarget>,
    pools: BTreeMap<PoolId, PoolCounts>,
    /// The issuer, while this instance leads the control group.
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
    /// Creates the state of a forwarder that has no connections open and has received no committed policy.
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

    /// Replaces the local policy by a newer one, already checked. It is in force once the control group has committed it.
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

    /// The interval between reports, in milliseconds.
    pub fn renewal_interval(&self) -> f64 {
        self.policy().lease.renew
    }

    /// Adds a target, or replaces the facts of a known one.
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

    /// Removes a target.
    pub fn remove_target(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Records that a target is warming up until the given time.
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

    /// Recomputes the standing shares of all pools, after a change of the table's policies.
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

    /// The connections that may be open at a pool up to `until`.
    fn allowance(&self, now: f64, until: f64, pool: &PoolId) -> Allowance {
        let standing = self.pools.get(pool).map_or(0, PoolCounts::standing);
        self.holder.allowance(now, until, pool, standing)
    }

    /// Requests a connection for a use that ends by `until`: a new connection, or one that is idle in the pool `from`.
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

    /// Records that a connection is no longer in use and becomes idle. Returns false if it has to be closed; it is counted
    /// until then.
    pub fn release_idle(&mut self, now: f64, pool: &PoolId, connection_use: ConnectionUse) -> bool {
        let Some(counts) = self.pools.get_mut(pool) else {
            return false;
        };
        counts.release_idle(now, connection_use);
        self.surplus_at(now, pool) == Some(0)
    }

    /// Records that a connection was closed: a busy one with its use, or an idle one with `None`.
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

    /// The number of idle connections to close, by pool.
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

    /// Whether another connection might be admitted, so that a waiting use should retry.
    pub fn has_capacity(&self, now: f64, pool: &PoolId) -> bool {
        match self.pools.get(pool) {
            Some(counts) => counts.busy() < self.allowance(now, now, pool).total,
            None => false,
        }
    }

    /// Whether the pool has reached its allowance while some of its connections are idle.
    pub fn is_exhausted(&self, now: f64, pool: &PoolId) -> bool {
        match self.pools.get(pool) {
            Some(counts) if counts.idle() > 0 => {
                counts.total() >= self.allowance(now, now, pool).total
            }
            _ => false,
        }
    }

    /// The encoded report of demands for the leader, if one is due.
    pub fn report(&mut self, now: f64) -> Option<Vec<u8>> {
        if now < self.next_report_at {
            return None;
        }
        self.next_report_at = now + self.renewal_interval();
        let pools = self.pools.iter();
        let open: BTreeMap<PoolId, u32> = pools
            .map(|(pool, counts)| (pool.clone(), counts.total()))
            .collect();
        let edition = self.table.policy().map_or(0, |(policy, _)| policy.edition);
        let pools = &self.pools;
        let standing = |pool: &PoolId| pools.get(pool).map_or(0, PoolCounts::standing);
        self.holder.observe_open(now, &open, edition, standing);
        let demands = self.demands(now);
        self.pools.retain(|_, counts| !counts.is_unused(now));
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
                // Nothing is reserved for trials: their demand is added to that of the member `others`.
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

    /// The connections that this forwarder has open at a pool, including idle ones.
    pub fn open(&self, pool: &PoolId) -> u32 {
        self.pools.get(pool).map_or(0, PoolCounts::total)
    }

    /// The position of a member in the policy in force.
    pub fn member(&self, name: &str) -> MemberId {
        self.policy().member(name)
    }
}

/// The combined facts of all targets of a pool. `first` holds the facts of the first target that was used in the pool.
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
