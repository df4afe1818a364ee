//! What the book counts: what each instance may have open at a pool, and whether one more lease fits.

use std::collections::BTreeMap;

use super::book::{Agreed, LeaseTable};
use super::standing::{all_standing, standing};
use super::words::*;
use crate::language::{Facts, Policy, PoolId};

impl Agreed {
    /// What stands for an instance by this policy; nothing at a pool that it does not count at.
    fn standing(&self, pool: &PoolId, facts: &Facts, instance: &Instance) -> u32 {
        standing(self.aside(pool, facts), pool, instance, &self.instances)
    }

    fn aside(&self, pool: &PoolId, facts: &Facts) -> u32 {
        let here = self
            .policy
            .pool(facts)
            .is_some_and(|counted| counted == *pool);
        self.policy
            .base(facts)
            .filter(|_| here)
            .map_or(0, |terms| terms.standing)
    }
}

impl LeaseTable {
    pub(super) fn fits(&self, policy: &Policy, part: &PartOf, instance: &Instance) -> bool {
        let (pool, facts) = (&part.pool, lasting(&part.facts));
        if policy.pool(&facts).as_ref() != Some(pool) {
            return false;
        }
        let own = self.own(pool, &facts, instance);
        let asked = part.all().max(own);
        // What does not grow is no more than it was: a budget that was lowered is come down to.
        if asked <= self.most(pool, instance).max(own) {
            return true;
        }
        let most = policy.base(&facts).map_or(0, |terms| terms.connections);
        let others = self.counted(pool, &facts, Some(instance));
        others.saturating_add(asked) <= most && !self.counted_elsewhere(policy, pool, &facts)
    }

    /// Whether leases by an older policy count the same connections at another place.
    fn counted_elsewhere(&self, policy: &Policy, pool: &PoolId, facts: &Facts) -> bool {
        let same =
            |other: &Facts| other.target == facts.target || other.destination == facts.destination;
        let old = self.facts.iter().filter(|(other, known)| {
            *other != pool && same(known) && policy.pool(known).as_ref() != Some(other)
        });
        let mut leases = self.leases.values().flat_map(|held| &held.open);
        let held =
            |pool: &PoolId| leases.any(|lease| lease.parts.get(pool).is_some_and(|part| *part > 0));
        old.map(|(pool, _)| pool).any(held)
    }

    /// The most that leases allow an instance.
    fn most(&self, pool: &PoolId, instance: &Instance) -> u32 {
        let held = self
            .leases
            .get(instance)
            .into_iter()
            .flat_map(|held| &held.open);
        held.filter_map(|lease| lease.parts.get(pool))
            .copied()
            .max()
            .unwrap_or(0)
    }

    /// What is set aside for one instance: the most by all policies that it may still go by.
    fn own(&self, pool: &PoolId, facts: &Facts, instance: &Instance) -> u32 {
        self.agreed
            .iter()
            .map(|agreed| agreed.standing(pool, facts, instance))
            .max()
            .unwrap_or(0)
    }

    /// What may be open at a pool by one instance.
    pub fn counted_of(&self, pool: &PoolId, facts: &Facts, instance: &Instance) -> u32 {
        self.most(pool, instance)
            .max(self.own(pool, facts, instance))
    }

    /// What may be open at a pool by all instances, one of them left out: leases, and what stands without.
    pub fn counted(&self, pool: &PoolId, facts: &Facts, without: Option<&Instance>) -> u32 {
        let mut most: BTreeMap<&Instance, u32> = BTreeMap::new();
        for agreed in &self.agreed {
            let parts = all_standing(agreed.aside(pool, facts), pool, &agreed.instances);
            for ((name, _), part) in agreed.instances.iter().zip(parts) {
                let counted = most.entry(name).or_default();
                *counted = part.max(*counted);
            }
        }
        for name in self.leases.keys() {
            let counted = most.entry(name).or_default();
            *counted = self.most(pool, name).max(*counted);
        }
        let others = most.into_iter().filter(|(name, _)| Some(*name) != without);
        others.map(|(_, counted)| counted).sum()
    }

    /// What all instances of the newest policy may have open without a lease, in their order.
    pub fn all_standing(&self, pool: &PoolId, facts: &Facts) -> Vec<u32> {
        let Some(newest) = self.agreed.last() else {
            return Vec::new();
        };
        let mut parts = all_standing(newest.aside(pool, facts), pool, &newest.instances);
        for earlier in &self.agreed[..self.agreed.len() - 1] {
            for ((name, _), part) in newest.instances.iter().zip(&mut parts) {
                *part = (*part).min(earlier.standing(pool, facts, name));
            }
        }
        parts
    }

    /// What an instance may have open without a lease: the least by all policies that are not settled.
    pub fn standing(&self, facts: &Facts, instance: &Instance) -> Option<(PoolId, u32)> {
        let pool = self.agreed.last()?.policy.pool(facts)?;
        let least = self
            .agreed
            .iter()
            .map(|agreed| agreed.standing(&pool, facts, instance))
            .min();
        Some((pool, least.unwrap_or(0)))
    }
}

/// What of it does not change while a target is listed.
pub(super) fn lasting(facts: &Facts) -> Facts {
    Facts {
        zone: String::new(),
        cold: false,
        draining: false,
        ..facts.clone()
    }
}
