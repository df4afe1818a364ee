//! Accounting of the table: the connections that each instance may have open at a pool, and whether another lease fits.

use std::collections::BTreeMap;

use super::super::messages::{Instance, PoolGrant};
use super::super::standing::{all_standing, standing};
use super::{CommittedPolicy, LeaseTable};
use crate::language::{Facts, Policy, PoolId};

impl CommittedPolicy {
    /// An instance's standing share by this policy; 0 for a pool in which the policy counts no connections.
    fn standing(&self, pool: &PoolId, facts: &Facts, instance: &Instance) -> u32 {
        standing(self.set_aside(pool, facts), pool, instance, &self.instances)
    }

    /// The connections of a pool that the policy sets aside for instances without a lease.
    fn set_aside(&self, pool: &PoolId, facts: &Facts) -> u32 {
        if self.policy.pool(facts).as_ref() != Some(pool) {
            return 0;
        }
        self.policy.base(facts).map_or(0, |terms| terms.standing)
    }
}

impl LeaseTable {
    /// Whether a share fits beside the connections that all other instances may have open.
    pub(super) fn fits(&self, policy: &Policy, share: &PoolGrant, instance: &Instance) -> bool {
        let pool = &share.pool;
        let facts = share.facts.stable();
        if policy.pool(&facts).as_ref() != Some(pool) {
            return false;
        }
        let own_standing = self.max_standing(pool, &facts, instance);
        let requested = share.total().max(own_standing);
        // A share that does not grow is accepted even above the quota: a lowered quota is reached gradually.
        if requested <= self.max_leased(pool, instance).max(own_standing) {
            return true;
        }
        let quota = policy.base(&facts).map_or(0, |terms| terms.connections);
        let others = self.counted(pool, &facts, Some(instance));
        others.saturating_add(requested) <= quota
            && !self.is_counted_elsewhere(policy, pool, &facts)
    }

    /// Whether leases by an older policy count the same connections in another pool.
    fn is_counted_elsewhere(&self, policy: &Policy, pool: &PoolId, facts: &Facts) -> bool {
        let is_same =
            |other: &Facts| other.target == facts.target || other.destination == facts.destination;
        let is_leased = |pool: &PoolId| {
            let mut open = self.leases.values().flat_map(|leases| &leases.open);
            open.any(|lease| {
                lease
                    .pools
                    .get(pool)
                    .is_some_and(|connections| *connections > 0)
            })
        };
        self.facts.iter().any(|(other, other_facts)| {
            other != pool
                && is_same(other_facts)
                && policy.pool(other_facts).as_ref() != Some(other)
                && is_leased(other)
        })
    }

    /// The maximum that the instance's open leases allow.
    fn max_leased(&self, pool: &PoolId, instance: &Instance) -> u32 {
        let Some(leases) = self.leases.get(instance) else {
            return 0;
        };
        let leased = leases.open.iter().filter_map(|lease| lease.pools.get(pool));
        leased.copied().max().unwrap_or(0)
    }

    /// The maximum standing share of an instance over all policies that it may still apply.
    fn max_standing(&self, pool: &PoolId, facts: &Facts, instance: &Instance) -> u32 {
        let standing = self
            .policies
            .iter()
            .map(|committed| committed.standing(pool, facts, instance));
        standing.max().unwrap_or(0)
    }

    /// The connections that one instance may have open at a pool.
    pub fn counted_for_instance(&self, pool: &PoolId, facts: &Facts, instance: &Instance) -> u32 {
        self.max_leased(pool, instance)
            .max(self.max_standing(pool, facts, instance))
    }

    /// The connections that all instances except `excluded` may have open at a pool, by leases or by standing shares.
    pub fn counted(&self, pool: &PoolId, facts: &Facts, excluded: Option<&Instance>) -> u32 {
        let mut counted: BTreeMap<&Instance, u32> = BTreeMap::new();
        for committed in &self.policies {
            let standing =
                all_standing(committed.set_aside(pool, facts), pool, &committed.instances);
            for ((name, _), connections) in committed.instances.iter().zip(standing) {
                let most = counted.entry(name).or_default();
                *most = connections.max(*most);
            }
        }
        for name in self.leases.keys() {
            let most = counted.entry(name).or_default();
            *most = self.max_leased(pool, name).max(*most);
        }
        let others = counted
            .into_iter()
            .filter(|(name, _)| Some(*name) != excluded);
        others.map(|(_, connections)| connections).sum()
    }

    /// The standing shares of the instances of the newest policy, in their order: for each instance the minimum over all
    /// policies that are not settled.
    pub fn all_standing(&self, pool: &PoolId, facts: &Facts) -> Vec<u32> {
        let Some((newest, earlier)) = self.policies.split_last() else {
            return Vec::new();
        };
        let mut standing = all_standing(newest.set_aside(pool, facts), pool, &newest.instances);
        for earlier in earlier {
            for ((name, _), connections) in newest.instances.iter().zip(&mut standing) {
                *connections = (*connections).min(earlier.standing(pool, facts, name));
            }
        }
        standing
    }

    /// The pool in which connections to a target are counted, and an instance's standing share there: the minimum over
    /// all policies that are not settled.
    pub fn standing(&self, facts: &Facts, instance: &Instance) -> Option<(PoolId, u32)> {
        let pool = self.policies.last()?.policy.pool(facts)?;
        let standing = self
            .policies
            .iter()
            .map(|committed| committed.standing(&pool, facts, instance));
        let least = standing.min().unwrap_or(0);
        Some((pool, least))
    }
}
