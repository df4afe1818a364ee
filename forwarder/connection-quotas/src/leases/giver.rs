//! The giver: the instance that leads. It hears what all want, works out their parts, and proposes leases that
//! fit with what is out; it waits out those that may be held still. What it knows by itself is lost with it:
//! the next one hears the wants anew, and waits out all that the book names from its own beginning.

use std::collections::{BTreeMap, BTreeSet};

use super::book::{LeaseTable, Outcome};
use super::words::*;
use crate::language::{Facts, PoolId, PoolTerms};
use crate::split::{fill, split, Owed, Part, Vessel, Wants};

#[derive(Debug)]
pub struct Giver {
    /// Added to each lease, in true milliseconds.
    grace: f64,
    reports: BTreeMap<Instance, (Report, f64)>,
    /// When each lease that may be held has surely ended, on this clock.
    ends: BTreeMap<(Instance, Number), f64>,
    /// Proposed and not written down yet: the most that each instance may come to have by it.
    pending: BTreeMap<Instance, Grant>,
    owed: BTreeMap<PoolId, (f64, Owed)>,
}

impl Giver {
    /// Begins to give. `grace`: after so long a process that stands still has been ended.
    pub fn new(now: f64, grace: f64, book: &LeaseTable) -> Self {
        let found = book
            .open()
            .flat_map(|(name, leases)| leases.iter().map(move |lease| (name, lease)));
        let ends =
            found.map(|(name, lease)| ((name.clone(), lease.number), now + lease.counted_for));
        let (reports, pending, owed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Giver {
            grace,
            ends: ends.collect(),
            reports,
            pending,
            owed,
        }
    }

    /// A command was written down, or refused, and the book has heard it.
    pub fn applied(&mut self, now: f64, command: &Command, outcome: Outcome) {
        let Command::Grant(grant) = command else {
            return;
        };
        if self
            .pending
            .get(&grant.instance)
            .is_some_and(|pending| pending.number == grant.number)
        {
            self.pending.remove(&grant.instance);
        }
        if outcome == Outcome::Done {
            self.ends.insert(
                (grant.instance.clone(), grant.number),
                now + grant.counted_for(),
            );
        }
    }

    /// A proposal of its own surely never counts.
    pub fn void(&mut self, command: &Command) {
        if let Command::Grant(grant) = command {
            self.pending.remove(&grant.instance);
        }
    }

    /// A lease for who asks, as far as it fits with what is out.
    pub fn reported(&mut self, now: f64, book: &LeaseTable, report: Report) -> Option<Command> {
        let (policy, instances) = book.policy()?;
        let (name, edition) = (report.instance.clone(), policy.edition);
        let listed = instances.iter().any(|(listed, _)| *listed == name);
        let stale = self
            .reports
            .get(&name)
            .is_some_and(|(last, _)| last.life == report.life && last.asked >= report.asked);
        if !listed || stale || self.pending.contains_key(&name) {
            return None;
        }
        let Report {
            life,
            asked,
            closed,
            ..
        } = report;
        // It goes by the newest policy once it has heard of it; until then it is told nothing by it.
        let hears = report.edition == edition;
        self.reports.insert(name.clone(), (report, now));
        let lasts = policy.lease.lasts;
        self.reports.retain(|_, (_, heard)| now - *heard < lasts);
        if !hears {
            return None;
        }
        let parts = self.parts(now, book, &name);
        let (number, drift, grace) = (
            Number(book.newest(&name).0 + 1),
            policy.lease.drift,
            self.grace,
        );
        let grant = Grant {
            instance: name.clone(),
            life,
            asked,
            closed,
            edition,
            number,
            lasts,
            grace,
            drift,
            parts,
        };
        self.pending.insert(name, grant.clone());
        Some(Command::Grant(grant))
    }

    /// What is to be proposed by now: leases that have surely ended, and a policy that all have heard of.
    pub fn due(&mut self, now: f64, book: &LeaseTable) -> Vec<Command> {
        let mut over: BTreeMap<Instance, Number> = BTreeMap::new();
        for (name, leases) in book.open() {
            let ended = |number: Number| {
                self.ends
                    .get(&(name.clone(), number))
                    .is_some_and(|ends| *ends <= now)
            };
            // All up to it: one that ends later than a later one holds those back.
            let all = leases
                .iter()
                .map(|lease| lease.number)
                .take_while(|number| ended(*number));
            all.for_each(|number| {
                over.insert(name.clone(), number);
            });
        }
        let open: BTreeSet<(Instance, Number)> = book
            .open()
            .flat_map(|(name, leases)| leases.iter().map(|lease| (name.clone(), lease.number)))
            .collect();
        self.ends.retain(|lease, _| open.contains(lease));
        let mut commands: Vec<Command> = over
            .into_iter()
            .map(|(instance, number)| Command::Ended { instance, number })
            .collect();
        commands.extend(book.unsettled().map(|edition| Command::Settled { edition }));
        commands
    }

    fn parts(&mut self, now: f64, book: &LeaseTable, name: &Instance) -> Vec<PartOf> {
        let Some((report, _)) = self.reports.get(name) else {
            return Vec::new();
        };
        let mut parts: BTreeMap<PoolId, PartOf> = BTreeMap::new();
        for wants in report.wants.clone() {
            let Some((pool, facts, terms)) = self.pool(book, &wants.facts) else {
                continue;
            };
            if parts.contains_key(&pool) {
                continue;
            }
            let target = self.target(now, book, &pool, &facts, &terms, name);
            let part = self.that_fits(book, &pool, &facts, &terms, name, target);
            parts.insert(
                pool.clone(),
                PartOf {
                    pool,
                    facts,
                    members: part.members,
                    trials: part.trials,
                },
            );
        }
        parts.into_values().collect()
    }

    /// A pool with all that anyone knows of it, and what holds there.
    fn pool(&self, book: &LeaseTable, facts: &Facts) -> Option<(PoolId, Facts, PoolTerms)> {
        let (policy, _) = book.policy()?;
        let pool = policy.pool(facts)?;
        let mut known = facts.clone();
        for told in self.told(book, &pool) {
            known.cold |= told.facts.cold;
            known.draining |= told.facts.draining;
        }
        let terms = policy.terms(&known)?;
        Some((pool, known, terms))
    }

    fn told<'a>(
        &'a self,
        book: &'a LeaseTable,
        pool: &'a PoolId,
    ) -> impl Iterator<Item = &'a WantsOf> {
        let all = self.reports.values().flat_map(|(report, _)| &report.wants);
        let counted = |facts: &Facts| book.policy().and_then(|(policy, _)| policy.pool(facts));
        all.filter(move |wants| counted(&wants.facts).as_ref() == Some(pool))
    }

    /// The part that is an instance's by the split over all that want some.
    fn target(
        &mut self,
        now: f64,
        book: &LeaseTable,
        pool: &PoolId,
        facts: &Facts,
        terms: &PoolTerms,
        name: &Instance,
    ) -> Part {
        let Some((policy, instances)) = book.policy() else {
            return Part::default();
        };
        let mut wants: BTreeMap<u16, Wants> = BTreeMap::new();
        let mut own = 0;
        let stands = book.all_standing(pool, facts);
        for (place, (instance, zone)) in instances.iter().enumerate() {
            if instance == name {
                own = place as u16;
            }
            let Some((report, _)) = self.reports.get(instance) else {
                continue;
            };
            let told = report
                .wants
                .iter()
                .filter(|wants| policy.pool(&wants.facts).as_ref() == Some(pool));
            let standing = stands.get(place).copied().unwrap_or(0);
            let near = !zone.is_empty() && *zone == facts.zone;
            let mut sum = Wants {
                standing,
                near,
                ..Wants::default()
            };
            told.for_each(|told| add(&mut sum, told, terms.members.len()));
            wants.insert(place as u16, sum);
        }
        let (at, owed) = self
            .owed
            .entry(pool.clone())
            .or_insert_with(|| (now, Owed::new()));
        // What rounding owes moves on once a turn: a part stays for some renewals, then another has its chance.
        let turn = now - *at >= TURN * policy.lease.renew;
        let mut owes = owed.clone();
        let mut parts = split(terms, terms.standing, &wants, &mut owes);
        if turn {
            (*at, *owed) = (now, owes);
        }
        parts.remove(&own).unwrap_or_default()
    }

    /// As much of a part as fits with what all others may have open.
    fn that_fits(
        &self,
        book: &LeaseTable,
        pool: &PoolId,
        facts: &Facts,
        terms: &PoolTerms,
        name: &Instance,
        target: Part,
    ) -> Part {
        let mut others = book.counted(pool, facts, Some(name));
        for (instance, grant) in self
            .pending
            .iter()
            .filter(|(instance, _)| *instance != name)
        {
            // Written down or not, the larger counts.
            let asked = grant
                .parts
                .iter()
                .find(|part| part.pool == *pool)
                .map_or(0, PartOf::all);
            others += asked.saturating_sub(book.counted_of(pool, facts, instance));
        }
        let free = terms.connections.saturating_sub(others);
        if target.all() <= free {
            return target;
        }
        let trials = target.trials.min(free);
        let vessel = |part: &u32| Vessel {
            weight: f64::from(*part),
            least: 0,
            most: *part,
            owed: 0.0,
        };
        let vessels: Vec<Vessel> = target.members.iter().map(vessel).collect();
        Part {
            members: fill(free - trials, &vessels).0,
            trials,
        }
    }
}

/// A turn, in renewals.
const TURN: f64 = 3.0;

fn add(sum: &mut Wants, told: &WantsOf, members: usize) {
    sum.members.resize(members, 0);
    for (sum, wanted) in sum.members.iter_mut().zip(&told.members) {
        *sum = sum.saturating_add(*wanted).min(MOST_WANTED);
    }
    sum.trials = sum.trials.saturating_add(told.trials).min(MOST_WANTED);
}

/// More than any budget: sums over a thousand instances stay far from what 32 bits hold.
const MOST_WANTED: u32 = 20_000;
