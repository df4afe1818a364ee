//! The book of the giving group: what its log has come to. It is told committed commands in the log's order,
//! and comes to the same on every instance; a command that does not fit changes nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::counted::lasting;
use super::words::*;
use crate::language::{Facts, Known, Policy, PoolId};

/// Leases of one instance that may be held at once; at that, no more are written down until one is over.
pub const MOST_LEASES: usize = 6;
/// Policies that not all instances have heard of yet; at that, no more are taken.
const MOST_UNSETTLED: usize = 4;
const MOST_INSTANCES: usize = 1_000;

/// What became of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Done,
    /// It changed nothing.
    Refused,
}

/// Bytes that are no book.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Torn;

#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    term: u64,
    /// Policies by age, the newest last; those before it until all instances have heard of it.
    pub(super) agreed: Vec<Agreed>,
    pub(super) leases: BTreeMap<Instance, Held>,
    /// What is known for good of the pools that leases name.
    pub(super) facts: BTreeMap<PoolId, Facts>,
}

#[derive(Clone, Debug)]
pub(super) struct Agreed {
    text: String,
    pub instances: Vec<(Instance, String)>,
    pub policy: Policy,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct Held {
    /// Of the newest lease ever.
    number: Number,
    /// The newest policy it had heard when it asked last.
    edition: u64,
    pub open: Vec<Lease>,
}

/// A lease that may be held still.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Lease {
    pub number: Number,
    /// For how long, on the clock of whoever gives, it counts from its writing down.
    pub counted_for: f64,
    pub parts: BTreeMap<PoolId, u32>,
}

#[derive(Deserialize, Serialize)]
struct Written {
    term: u64,
    agreed: Vec<(String, Vec<(Instance, String)>)>,
    leases: BTreeMap<Instance, Held>,
    facts: BTreeMap<PoolId, Facts>,
}

impl LeaseTable {
    /// A command that the leader of `term` proposed.
    pub fn apply(&mut self, term: u64, command: &Command) -> Outcome {
        if term < self.term {
            return Outcome::Refused;
        }
        self.term = term;
        let done = match command {
            Command::Policy { text, instances } => self.agree(text, instances),
            Command::Settled { edition } => self.settle(*edition),
            Command::Grant(grant) => self.grant(grant),
            Command::Ended { instance, number } => {
                let held = self.leases.get_mut(instance);
                let known = held
                    .map(|held| held.open.retain(|lease| lease.number > *number))
                    .is_some();
                self.forget();
                known
            }
        };
        if done {
            Outcome::Done
        } else {
            Outcome::Refused
        }
    }

    /// Pools that no lease names any more.
    fn forget(&mut self) {
        let leases: Vec<&Lease> = self.leases.values().flat_map(|held| &held.open).collect();
        self.facts
            .retain(|pool, _| leases.iter().any(|lease| lease.parts.contains_key(pool)));
    }

    fn agree(&mut self, text: &str, instances: &[(Instance, String)]) -> bool {
        // Its proposer has checked the names; here it has to mean the same everywhere.
        let Ok(policy) = crate::policy("agreed", text, &Known::default()) else {
            return false;
        };
        let newer = self
            .agreed
            .last()
            .is_none_or(|last| last.policy.edition < policy.edition);
        let mut names: Vec<&Instance> = instances.iter().map(|(name, _)| name).collect();
        names.sort_unstable();
        names.dedup();
        let sound = names.len() == instances.len() && (1..=MOST_INSTANCES).contains(&names.len());
        if !newer || !sound || self.agreed.len() > MOST_UNSETTLED {
            return false;
        }
        self.agreed.push(Agreed {
            text: text.to_owned(),
            instances: instances.to_vec(),
            policy,
        });
        true
    }

    fn settle(&mut self, edition: u64) -> bool {
        if self.unsettled() != Some(edition) {
            return false;
        }
        self.agreed.drain(..self.agreed.len() - 1);
        true
    }

    /// The newest policy, if older ones count beside it and all instances have closed down to it. What stands
    /// without a lease may rise then: it has to fit with what is out.
    pub fn unsettled(&self) -> Option<u64> {
        let newest = self.agreed.last().filter(|_| self.agreed.len() > 1)?;
        let edition = newest.policy.edition;
        let heard = |(name, _): &(Instance, String)| {
            self.leases
                .get(name)
                .is_some_and(|held| held.edition >= edition)
        };
        let fits = |(pool, facts): (&PoolId, &Facts)| {
            let most = newest
                .policy
                .base(facts)
                .map_or(u32::MAX, |terms| terms.connections);
            self.counted(pool, facts, None) <= most
        };
        (newest.instances.iter().all(heard) && self.facts.iter().all(fits)).then_some(edition)
    }

    fn grant(&mut self, grant: &Grant) -> bool {
        let Some(newest) = self
            .agreed
            .last()
            .filter(|last| last.policy.edition == grant.edition)
        else {
            return false;
        };
        let listed = newest
            .instances
            .iter()
            .any(|(name, _)| *name == grant.instance);
        let before = self.leases.get(&grant.instance);
        let last = before.map_or(Number(0), |held| held.number);
        let open = before.map_or(0, |held| {
            held.open
                .iter()
                .filter(|l| l.number >= grant.closed)
                .count()
        });
        if !listed || !grant.is_sound() || grant.number <= last || open >= MOST_LEASES {
            return false;
        }
        if !grant
            .parts
            .iter()
            .all(|part| self.fits(&newest.policy, part, &grant.instance))
        {
            return false;
        }
        let held = self.leases.entry(grant.instance.clone()).or_default();
        held.open.retain(|lease| lease.number >= grant.closed);
        (held.number, held.edition) = (grant.number, grant.edition);
        let parts = grant
            .parts
            .iter()
            .map(|part| (part.pool.clone(), part.all()))
            .collect();
        held.open.push(Lease {
            number: grant.number,
            counted_for: grant.counted_for(),
            parts,
        });
        let known = grant
            .parts
            .iter()
            .map(|part| (part.pool.clone(), lasting(&part.facts)));
        self.facts.extend(known);
        self.forget();
        true
    }

    /// The newest policy, with its instances.
    pub fn policy(&self) -> Option<(&Policy, &[(Instance, String)])> {
        self.agreed
            .last()
            .map(|agreed| (&agreed.policy, agreed.instances.as_slice()))
    }

    /// The leases of each instance that may be held still, the newest last.
    pub fn open(&self) -> impl Iterator<Item = (&Instance, &[Lease])> {
        self.leases
            .iter()
            .map(|(name, held)| (name, held.open.as_slice()))
    }

    /// The number of the newest lease of an instance, 0 if it had none.
    pub fn newest(&self, instance: &Instance) -> Number {
        self.leases
            .get(instance)
            .map_or(Number(0), |held| held.number)
    }

    pub fn snapshot(&self) -> Vec<u8> {
        let agreed = self
            .agreed
            .iter()
            .map(|agreed| (agreed.text.clone(), agreed.instances.clone()));
        encode(&Written {
            term: self.term,
            agreed: agreed.collect(),
            leases: self.leases.clone(),
            facts: self.facts.clone(),
        })
    }

    pub fn restore(bytes: &[u8]) -> Result<LeaseTable, Torn> {
        let written: Written = decode(bytes).ok_or(Torn)?;
        let agreed = written.agreed.into_iter().map(|(text, instances)| {
            let policy = crate::policy("agreed", &text, &Known::default()).map_err(|_| Torn)?;
            Ok(Agreed {
                text,
                instances,
                policy,
            })
        });
        let agreed = agreed.collect::<Result<Vec<_>, Torn>>()?;
        Ok(LeaseTable {
            term: written.term,
            agreed,
            leases: written.leases,
            facts: written.facts,
        })
    }

    /// Bytes it takes, about.
    pub fn size(&self) -> usize {
        let texts: usize = self.agreed.iter().map(|agreed| 4 * agreed.text.len()).sum();
        let leases = self.leases.values().flat_map(|held| &held.open);
        texts
            + leases
                .map(|lease| 64 + 96 * lease.parts.len())
                .sum::<usize>()
            + 256 * self.facts.len()
    }
}
