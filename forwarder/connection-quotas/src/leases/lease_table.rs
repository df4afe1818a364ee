//! The replicated state of policies and leases. The table applies the committed commands of the control group's log in
//! log order, and is the same on every instance. A command that does not fit is refused and has no effect, except that
//! its term is recorded.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::messages::{decode, encode, Command, Grant, Instance, LeaseNumber, PoolGrant};
use crate::language::{Facts, KnownNames, Policy, PoolId};

mod accounting;

/// Maximum number of leases that one instance may hold at once. At that number, further leases are refused until one
/// has ended.
pub const MAX_OPEN_LEASES: usize = 6;
/// Maximum number of policies that not all instances have received yet. At that number, further policies are refused.
const MAX_UNSETTLED_POLICIES: usize = 4;
const MAX_INSTANCES: usize = 1_000;

/// The result of applying a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The command took effect.
    Applied,
    /// The command had no effect on policies and leases.
    Refused,
}

/// The bytes are not a valid snapshot of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the bytes are not a valid snapshot of a lease table")]
pub struct CorruptSnapshot;

/// The policies and leases of the control group.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    term: u64,
    /// Policies by age, the newest last. Older policies are retained until all instances have received the newest.
    policies: Vec<CommittedPolicy>,
    leases: BTreeMap<Instance, InstanceLeases>,
    /// The stable facts of the pools that leases name.
    facts: BTreeMap<PoolId, Facts>,
}

/// A policy that was committed to the log.
#[derive(Clone, Debug)]
struct CommittedPolicy {
    text: String,
    instances: Vec<(Instance, String)>,
    policy: Policy,
}

/// The leases of one instance. The order of fields is part of the snapshot format, here and below.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct InstanceLeases {
    /// The number of the newest lease ever granted.
    newest: LeaseNumber,
    /// The edition of the newest policy that the instance had received when it requested its newest lease.
    edition: u64,
    open: Vec<Lease>,
}

/// A lease that may still be held.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Lease {
    /// The lease's number.
    pub number: LeaseNumber,
    /// The time after its commit in which the lease is counted, in milliseconds of the issuer's clock.
    pub counted_for: f64,
    /// Connections by pool.
    pub pools: BTreeMap<PoolId, u32>,
}

/// The serialized form of the table.
#[derive(Deserialize, Serialize)]
struct Snapshot {
    term: u64,
    policies: Vec<PolicySnapshot>,
    leases: BTreeMap<Instance, InstanceLeases>,
    facts: BTreeMap<PoolId, Facts>,
}

#[derive(Deserialize, Serialize)]
struct PolicySnapshot {
    text: String,
    instances: Vec<(Instance, String)>,
}

impl LeaseTable {
    /// Applies a command that the leader of `term` proposed. Commands of earlier terms are refused.
    pub fn apply(&mut self, term: u64, command: &Command) -> Outcome {
        if term < self.term {
            return Outcome::Refused;
        }
        self.term = term;
        let is_applied = match command {
            Command::Policy { text, instances } => self.add_policy(text, instances),
            Command::Settled { edition } => self.settle_policy(*edition),
            Command::Grant(grant) => self.add_lease(grant),
            Command::Ended { instance, number } => self.end_leases(instance, *number),
        };
        if is_applied {
            Outcome::Applied
        } else {
            Outcome::Refused
        }
    }

    fn end_leases(&mut self, instance: &Instance, last: LeaseNumber) -> bool {
        let Some(leases) = self.leases.get_mut(instance) else {
            return false;
        };
        leases.open.retain(|lease| lease.number > last);
        self.remove_unused_facts();
        true
    }

    /// Removes the facts of pools that no open lease names.
    fn remove_unused_facts(&mut self) {
        let open: Vec<&Lease> = self
            .leases
            .values()
            .flat_map(|leases| &leases.open)
            .collect();
        self.facts
            .retain(|pool, _| open.iter().any(|lease| lease.pools.contains_key(pool)));
    }

    fn add_policy(&mut self, text: &str, instances: &[(Instance, String)]) -> bool {
        // The proposer has checked the names. They are not checked here, as the result must be the same on every
        // instance.
        let Ok(policy) = crate::policy("agreed", text, &KnownNames::default()) else {
            return false;
        };
        let is_newer = self
            .policies
            .last()
            .is_none_or(|newest| newest.policy.edition < policy.edition);
        let mut names: Vec<&Instance> = instances.iter().map(|(name, _)| name).collect();
        names.sort_unstable();
        names.dedup();
        let are_names_valid =
            names.len() == instances.len() && (1..=MAX_INSTANCES).contains(&names.len());
        if !is_newer || !are_names_valid || self.policies.len() > MAX_UNSETTLED_POLICIES {
            return false;
        }
        let instances = instances.to_vec();
        self.policies.push(CommittedPolicy {
            text: text.to_owned(),
            instances,
            policy,
        });
        true
    }

    fn settle_policy(&mut self, edition: u64) -> bool {
        if self.settleable_edition() != Some(edition) {
            return false;
        }
        self.policies.drain(..self.policies.len() - 1);
        true
    }

    /// The edition of the newest policy, if it can be settled now: older policies are still counted, and all instances
    /// have closed connections down to it. Settling may raise the standing shares, so they have to fit beside the leases
    /// that are held.
    pub fn settleable_edition(&self) -> Option<u64> {
        if self.policies.len() <= 1 {
            return None;
        }
        let newest = self.policies.last()?;
        let edition = newest.policy.edition;
        let is_received = newest.instances.iter().all(|(name, _)| {
            self.leases
                .get(name)
                .is_some_and(|leases| leases.edition >= edition)
        });
        let fits = || {
            self.facts.iter().all(|(pool, facts)| {
                let quota = newest
                    .policy
                    .base(facts)
                    .map_or(u32::MAX, |terms| terms.connections);
                self.counted(pool, facts, None) <= quota
            })
        };
        (is_received && fits()).then_some(edition)
    }

    fn add_lease(&mut self, grant: &Grant) -> bool {
        if !self.may_add(grant) {
            return false;
        }
        let leases = self.leases.entry(grant.instance.clone()).or_default();
        leases.open.retain(|lease| lease.number >= grant.closed_to);
        leases.newest = grant.number;
        leases.edition = grant.edition;
        let pools = grant
            .pools
            .iter()
            .map(|share| (share.pool.clone(), share.total()));
        leases.open.push(Lease {
            number: grant.number,
            counted_for: grant.counted_for(),
            pools: pools.collect(),
        });
        let facts = grant
            .pools
            .iter()
            .map(|share| (share.pool.clone(), share.facts.stable()));
        self.facts.extend(facts);
        self.remove_unused_facts();
        true
    }

    fn may_add(&self, grant: &Grant) -> bool {
        let Some(newest) = self.policies.last() else {
            return false;
        };
        let is_listed = newest
            .instances
            .iter()
            .any(|(name, _)| *name == grant.instance);
        if newest.policy.edition != grant.edition || !is_listed || !grant.is_valid() {
            return false;
        }
        if let Some(leases) = self.leases.get(&grant.instance) {
            let remaining = leases
                .open
                .iter()
                .filter(|lease| lease.number >= grant.closed_to);
            if grant.number <= leases.newest || remaining.count() >= MAX_OPEN_LEASES {
                return false;
            }
        } else if grant.number <= LeaseNumber(0) {
            return false;
        }
        let fits = |share: &PoolGrant| self.fits(&newest.policy, share, &grant.instance);
        grant.pools.iter().all(fits)
    }

    /// The newest policy, with its instances and their zones.
    pub fn policy(&self) -> Option<(&Policy, &[(Instance, String)])> {
        let newest = self.policies.last()?;
        Some((&newest.policy, newest.instances.as_slice()))
    }

    /// The leases of each instance that may still be held, the newest last.
    pub fn open(&self) -> impl Iterator<Item = (&Instance, &[Lease])> {
        self.leases
            .iter()
            .map(|(name, leases)| (name, leases.open.as_slice()))
    }

    /// The number of the newest lease of an instance; 0 if it never had one.
    pub fn newest(&self, instance: &Instance) -> LeaseNumber {
        self.leases
            .get(instance)
            .map_or(LeaseNumber(0), |leases| leases.newest)
    }

    /// Serializes the table for [`LeaseTable::restore`].
    pub fn snapshot(&self) -> Vec<u8> {
        let policies = self.policies.iter().map(|committed| PolicySnapshot {
            text: committed.text.clone(),
            instances: committed.instances.clone(),
        });
        encode(&Snapshot {
            term: self.term,
            policies: policies.collect(),
            leases: self.leases.clone(),
            facts: self.facts.clone(),
        })
    }

    /// Restores a table from a snapshot.
    ///
    /// # Errors
    /// The bytes are not a snapshot, or contain an invalid policy.
    pub fn restore(bytes: &[u8]) -> Result<LeaseTable, CorruptSnapshot> {
        let snapshot: Snapshot = decode(bytes).ok_or(CorruptSnapshot)?;
        let mut policies = Vec::new();
        for PolicySnapshot { text, instances } in snapshot.policies {
            let policy = crate::policy("agreed", &text, &KnownNames::default())
                .map_err(|_| CorruptSnapshot)?;
            policies.push(CommittedPolicy {
                text,
                instances,
                policy,
            });
        }
        Ok(LeaseTable {
            term: snapshot.term,
            policies,
            leases: snapshot.leases,
            facts: snapshot.facts,
        })
    }

    /// The approximate memory use of the table, in bytes.
    pub fn size(&self) -> usize {
        let texts: usize = self
            .policies
            .iter()
            .map(|committed| 4 * committed.text.len())
            .sum();
        let open = self.leases.values().flat_map(|leases| &leases.open);
        let leases: usize = open.map(|lease| 64 + 96 * lease.pools.len()).sum();
        texts + leases + 256 * self.facts.len()
    }
}
