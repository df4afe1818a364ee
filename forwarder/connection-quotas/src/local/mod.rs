//! One forwarder's side of the pools, without I/O: what is open, what may be, what is wanted, and, while it
//! leads the control group, what the others get. Its host counts connections in and out here, carries bytes, and
//! tells the time: milliseconds of a clock that only grows and counts a machine's sleep.

mod counts;
mod group;

use std::collections::BTreeMap;

use crate::language::{Facts, MemberId, Policy, PoolId, OTHERS};
use crate::leases::*;

pub use counts::ConnectionUse;
use counts::Counts;

/// Whether a connection may be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No budget holds for the target.
    Unlimited,
    /// It is counted there now.
    Admitted(PoolId),
    /// There is no room there.
    Exhausted(PoolId),
}

pub struct LocalQuotas {
    /// As its own file says, until one is agreed on; to be agreed on if its edition is higher.
    told: Policy,
    text: String,
    instances: Vec<(Instance, String)>,
    grace: f64,
    book: LeaseTable,
    holder: Holder,
    targets: BTreeMap<String, Known>,
    pools: BTreeMap<PoolId, Counts>,
    gives: Option<(u64, Giver)>,
    reports_at: f64,
}

struct Known {
    facts: Facts,
    cold_until: f64,
}

/// What a forwarder is told of pools at its start.
pub struct LocalQuotasConfig {
    pub instance: Instance,
    pub life: MemberIncarnation,
    pub text: String,
    pub policy: Policy,
    /// All instances of the fleet, with their zones.
    pub instances: Vec<(Instance, String)>,
    /// After so many milliseconds the kernel has ended a process that stands still.
    pub grace: f64,
}

impl LocalQuotas {
    pub fn new(start: LocalQuotasConfig) -> LocalQuotas {
        LocalQuotas {
            told: start.policy,
            text: start.text,
            instances: start.instances,
            grace: start.grace,
            book: LeaseTable::default(),
            holder: Holder::new(start.instance, start.life),
            targets: BTreeMap::new(),
            pools: BTreeMap::new(),
            gives: None,
            reports_at: 0.0,
        }
    }

    /// Another policy than at the start, checked. It is in force once the fleet has agreed on it.
    pub fn set_policy(&mut self, text: String, policy: Policy) {
        (self.text, self.told) = (text, policy);
    }

    pub fn policy(&self) -> &Policy {
        self.book.policy().map_or(&self.told, |(policy, _)| policy)
    }

    /// How often to report, and to look what is due, in milliseconds.
    pub fn renews(&self) -> f64 {
        self.policy().lease.renew
    }

    pub fn upsert_target(&mut self, facts: Facts) {
        let cold_until = self
            .targets
            .get(&facts.target)
            .map_or(f64::MIN, |known| known.cold_until);
        self.targets
            .insert(facts.target.clone(), Known { facts, cold_until });
    }

    pub fn remove_target(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// It is warming up until then.
    pub fn set_warming_up(&mut self, target: &str, until: f64) {
        if let Some(known) = self.targets.get_mut(target) {
            known.cold_until = until;
        }
    }

    fn pool_of(&self, target: &str) -> Option<(PoolId, &Facts)> {
        let known = self.targets.get(target)?;
        Some((self.policy().pool(&known.facts)?, &known.facts))
    }

    fn standing(&self, pool: &PoolId, facts: &Facts) -> u32 {
        let stands = self
            .book
            .standing(facts, self.holder.instance())
            .filter(|(counted, _)| counted == pool);
        stands.map_or(0, |(_, standing)| standing)
    }

    /// The book's policies have changed.
    fn stands_anew(&mut self) {
        let parts = self
            .pools
            .iter()
            .map(|(pool, counts)| self.standing(pool, &counts.facts));
        let parts: Vec<u32> = parts.collect();
        self.pools
            .values_mut()
            .zip(parts)
            .for_each(|(counts, part)| counts.standing = part);
    }

    /// What may be open at a pool up to `until`.
    fn allowed(&self, now: f64, until: f64, pool: &PoolId) -> Allowed {
        let standing = self.pools.get(pool).map_or(0, |counts| counts.standing);
        self.holder.allowed(now, until, pool, standing)
    }

    /// Counts a connection in, a new one or one that stood idle in `from`, for a use that is over by `until`.
    pub fn acquire(
        &mut self,
        now: f64,
        until: f64,
        target: &str,
        what: ConnectionUse,
        from: Option<&PoolId>,
    ) -> Admission {
        let Some((pool, facts)) = self.pool_of(target) else {
            return Admission::Unlimited;
        };
        if !self.pools.contains_key(&pool) {
            let facts = facts.clone();
            let standing = self.standing(&pool, &facts);
            self.pools
                .insert(pool.clone(), Counts::new(facts, standing));
        }
        let allowed = self.allowed(now, until, &pool);
        let members = self.policy().members.len();
        let Some(counts) = self.pools.get_mut(&pool) else {
            return Admission::Exhausted(pool);
        };
        let idle = from == Some(&pool);
        if counts.enter(now, &allowed, what, idle, members) {
            Admission::Admitted(pool)
        } else {
            Admission::Exhausted(pool)
        }
    }

    /// A connection's use is over, and it stays open. False if it has to be closed: it counts until it was.
    pub fn release_idle(&mut self, now: f64, pool: &PoolId, what: ConnectionUse) -> bool {
        let Some(counts) = self.pools.get_mut(pool) else {
            return false;
        };
        counts.rests(now, what);
        self.surplus_at(now, pool) == Some(0)
    }

    /// A connection was closed, from that use or as an idle one.
    pub fn connection_closed(&mut self, now: f64, pool: &PoolId, what: Option<ConnectionUse>) {
        if let Some(counts) = self.pools.get_mut(pool) {
            counts.left(now, what);
        }
    }

    fn surplus_at(&self, now: f64, pool: &PoolId) -> Option<u32> {
        let counts = self.pools.get(pool)?;
        // Closing is over by then, with a tick of the host and a busy loop between.
        let most = self.allowed(now, now + CLOSING, pool).all;
        Some(counts.all().saturating_sub(most).min(counts.idle))
    }

    /// Idle connections that are to be closed, by pool.
    pub fn surplus(&self, now: f64) -> Vec<(PoolId, u32)> {
        let all = self
            .pools
            .keys()
            .filter_map(|pool| Some((pool.clone(), self.surplus_at(now, pool)?)));
        all.filter(|(_, surplus)| *surplus > 0).collect()
    }

    /// Whether one more might be counted in, so that someone who waits had better look again.
    pub fn has_capacity(&self, now: f64, pool: &PoolId) -> bool {
        let Some(counts) = self.pools.get(pool) else {
            return false;
        };
        counts.busy() < self.allowed(now, now, pool).all
    }

    /// Whether all that may be open there is, some of it idle.
    pub fn is_exhausted(&self, now: f64, pool: &PoolId) -> bool {
        let Some(counts) = self.pools.get(pool).filter(|counts| counts.idle > 0) else {
            return false;
        };
        counts.all() >= self.allowed(now, now, pool).all
    }

    /// What it wants, in bytes for the leader, when that is due.
    pub fn report(&mut self, now: f64) -> Option<Vec<u8>> {
        if now < self.reports_at {
            return None;
        }
        self.reports_at = now + self.renews();
        let open: BTreeMap<PoolId, u32> = self
            .pools
            .iter()
            .map(|(pool, counts)| (pool.clone(), counts.all()))
            .collect();
        let stands: BTreeMap<&PoolId, u32> = self
            .pools
            .iter()
            .map(|(pool, counts)| (pool, counts.standing))
            .collect();
        let edition = self.book.policy().map_or(0, |(policy, _)| policy.edition);
        self.holder.open(now, &open, edition, |pool| {
            stands.get(pool).copied().unwrap_or(0)
        });
        let wants = self.wants(now);
        self.pools.retain(|_, counts| !counts.is_over(now));
        Some(encode(&self.holder.report(now, wants)))
    }

    fn wants(&mut self, now: f64) -> Vec<WantsOf> {
        let policy = self.policy().clone();
        let others = usize::from(policy.member(OTHERS).0);
        let LocalQuotas { targets, pools, .. } = self;
        let mut wants = Vec::new();
        for (pool, counts) in pools.iter_mut() {
            let mut facts = counts.facts.clone();
            let known: Vec<&Known> = targets
                .values()
                .filter(|known| counted_there(pool, known))
                .collect();
            if let Some(first) = known
                .iter()
                .find(|known| known.facts.target == facts.target)
            {
                facts = first.facts.clone();
            }
            facts.cold = known.iter().any(|known| known.cold_until > now);
            facts.draining = !known.is_empty() && known.iter().all(|known| known.facts.draining);
            let (mut members, mut trials) = counts.wants(now);
            if policy.terms(&facts).is_some_and(|terms| terms.reserve == 0) {
                // Nothing is kept for them: they are as the events of others.
                members.resize(members.len().max(others + 1), 0);
                members[others] += std::mem::take(&mut trials);
            }
            wants.push(WantsOf {
                facts,
                members,
                trials,
            });
        }
        wants
    }

    /// Connections open at a pool from here, idle ones counted.
    pub fn open(&self, pool: &PoolId) -> u32 {
        self.pools.get(pool).map_or(0, Counts::all)
    }

    pub fn member(&self, name: &str) -> MemberId {
        self.policy().member(name)
    }
}

/// Idle connections are closed so long before a lease ends, in milliseconds.
const CLOSING: f64 = 250.0;

fn counted_there(pool: &PoolId, known: &Known) -> bool {
    match pool {
        PoolId::Target(name) => *name == known.facts.target,
        PoolId::Destination(number) => *number == known.facts.destination,
    }
}
