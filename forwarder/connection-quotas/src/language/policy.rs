//! A checked policy, and what it says of one target as far as that is known. No fault can be left in it.

use super::tree::{Counted, Of, Over, Percent, Scope, When};

/// Who is named nowhere counts as this member.
pub const OTHERS: &str = "others";

/// The place of a member in its policy's list, which is in the order of names.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct MemberId(pub u16);

/// Where connections are counted: the name of a target, or the number of a destination.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum PoolId {
    Target(String),
    Destination(u64),
}

/// What is known of a target, or of a destination's targets together.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Facts {
    pub target: String,
    pub destination: u64,
    pub kind: String,
    pub zone: String,
    pub cold: bool,
    pub draining: bool,
}

#[derive(Clone, Debug)]
pub struct Policy {
    pub edition: u64,
    pub lease: LeaseTerms,
    /// In the order of their names; always with one called `others`.
    pub members: Vec<String>,
    pub(super) budgets: Vec<Budget>,
    pub(super) rules: Vec<Rule>,
}

/// Times are milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LeaseTerms {
    pub lasts: f64,
    pub renew: f64,
    /// By how much a clock may go fast or slow, as a share.
    pub drift: f64,
}

#[derive(Clone, Debug)]
pub(super) struct Budget {
    pub scope: Scope,
    pub terms: PoolTerms,
}

#[derive(Clone, Debug)]
pub(super) struct Rule {
    pub scope: Option<Scope>,
    pub when: When,
    pub change: Change,
}

/// What a rule puts in the place of what its budget says.
#[derive(Clone, Debug, Default)]
pub(super) struct Change {
    pub connections: Option<u32>,
    pub part: Option<Percent>,
    pub reserve: Option<u32>,
    pub over: Option<Over>,
    pub members: Vec<(usize, MemberChange)>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct MemberChange {
    pub weight: Option<u32>,
    pub floor: Option<u32>,
    pub ceiling: Option<u32>,
    pub lends: Option<Reach>,
    pub borrows: Option<bool>,
}

/// Whom a member's unused share may reach.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reach {
    All,
    /// Places of members, in their order; what those can't use goes on along their own lists.
    Only(Vec<usize>),
}

/// What holds for one pool. Counts are connections of all forwarders together, idle ones too.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolTerms {
    pub connections: u32,
    /// Of these, for pings and trials.
    pub reserve: u32,
    /// Of these, for forwarders that hold no lease.
    pub standing: u32,
    pub over: Over,
    /// In the order of `Policy::members`.
    pub members: Vec<MemberTerms>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct MemberTerms {
    pub weight: u32,
    pub floor: u32,
    pub ceiling: u32,
    pub lends: Reach,
    pub borrows: bool,
}

impl MemberChange {
    pub(super) fn apply(&self, to: &mut MemberTerms) {
        to.weight = self.weight.unwrap_or(to.weight);
        to.floor = self.floor.unwrap_or(to.floor);
        to.ceiling = self.ceiling.unwrap_or(to.ceiling);
        to.borrows = self.borrows.unwrap_or(to.borrows);
        if let Some(lends) = &self.lends {
            to.lends = lends.clone();
        }
    }
}

/// What a part of a budget is in whole connections; one at the least.
pub(super) fn part_of(connections: u32, part: Percent) -> u32 {
    ((u64::from(connections) * part.0 / 10_000) as u32).max(1)
}

impl Change {
    /// Of two rules, the one that leaves fewer connections goes before.
    pub(super) fn apply(&self, base: u32, to: &mut PoolTerms) {
        let told = self
            .part
            .map(|part| part_of(base, part))
            .or(self.connections);
        to.connections = told.map_or(to.connections, |told| told.min(to.connections));
        to.reserve = self.reserve.unwrap_or(to.reserve);
        to.over = self.over.unwrap_or(to.over);
        for (at, change) in &self.members {
            change.apply(&mut to.members[*at]);
        }
    }
}

/// How narrow a scope is: of several budgets the narrowest holds.
pub(super) fn rank(scope: &Scope) -> u8 {
    match scope {
        Scope::Target(_) => 3,
        Scope::Destination(_)
        | Scope::Each {
            of: Of::Destination(_),
            ..
        } => 2,
        Scope::Each {
            of: Of::Kind(_), ..
        } => 1,
        Scope::Each { of: Of::All, .. } => 0,
    }
}

fn holds_for(scope: &Scope, facts: &Facts) -> bool {
    match scope {
        Scope::Target(name) => *name == facts.target,
        Scope::Destination(number) => *number == facts.destination,
        Scope::Each { of: Of::All, .. } => true,
        Scope::Each {
            of: Of::Kind(kind), ..
        } => *kind == facts.kind,
        Scope::Each {
            of: Of::Destination(number),
            ..
        } => *number == facts.destination,
    }
}

impl When {
    fn holds(&self, facts: &Facts) -> bool {
        match self {
            When::Any(conditions) => conditions.iter().any(|condition| condition.holds(facts)),
            When::All(conditions) => conditions.iter().all(|condition| condition.holds(facts)),
            When::Not(condition) => !condition.holds(facts),
            When::Cold => facts.cold,
            When::Draining => facts.draining,
            When::Zone(names) => names.iter().any(|name| name.what == facts.zone),
            When::Kind(names) => names.iter().any(|name| name.what == facts.kind),
            When::Destination(number) => *number == facts.destination,
        }
    }
}

impl Policy {
    fn budget(&self, facts: &Facts) -> Option<&Budget> {
        let fitting = self
            .budgets
            .iter()
            .filter(|budget| holds_for(&budget.scope, facts));
        fitting.max_by_key(|budget| rank(&budget.scope))
    }

    /// Where the connections to a target are counted; nowhere if no budget holds for it.
    pub fn pool(&self, facts: &Facts) -> Option<PoolId> {
        Some(match &self.budget(facts)?.scope {
            Scope::Target(_)
            | Scope::Each {
                counted: Counted::Target,
                ..
            } => PoolId::Target(facts.target.clone()),
            Scope::Destination(_)
            | Scope::Each {
                counted: Counted::Destination,
                ..
            } => PoolId::Destination(facts.destination),
        })
    }

    /// What holds whatever the rules say: their connections are never more.
    pub fn base(&self, facts: &Facts) -> Option<&PoolTerms> {
        self.budget(facts).map(|budget| &budget.terms)
    }

    /// What holds with the rules whose conditions are met, in the order they are written.
    pub fn terms(&self, facts: &Facts) -> Option<PoolTerms> {
        let budget = self.budget(facts)?;
        let mut terms = budget.terms.clone();
        let met = self.rules.iter().filter(|rule| {
            rule.scope
                .as_ref()
                .is_none_or(|scope| holds_for(scope, facts))
                && rule.when.holds(facts)
        });
        met.for_each(|rule| rule.change.apply(budget.terms.connections, &mut terms));
        Some(terms)
    }

    /// The place of a member by its name.
    pub fn member(&self, name: &str) -> MemberId {
        let others = || self.members.iter().position(|known| known == OTHERS);
        let place = self
            .members
            .iter()
            .position(|known| known == name)
            .or_else(others);
        MemberId(place.unwrap_or(0) as u16)
    }
}
