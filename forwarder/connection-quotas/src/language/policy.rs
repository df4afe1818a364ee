//! A checked policy, and what it says of one target as far as that is known. No error can be left in it.

use serde::{Deserialize, Serialize};

use super::tree::{Condition, CountedAt, Over, Percent, Scope, Selection};

/// Clients that the policy names nowhere count as this member.
pub const OTHERS: &str = "others";

/// The position of a member in its policy's list, which is in the order of names.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct MemberId(pub u16);

/// Where connections are counted. The order of variants is the form on the wire.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum PoolId {
    /// At one target, by its name.
    Target(String),
    /// At all targets of a destination together, by its number.
    Destination(u64),
}

/// What is known of a target, or of a destination's targets together. The order of fields is the form on the wire.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Facts {
    /// The target's name.
    pub target: String,
    /// Its destination's number.
    pub destination: u64,
    /// Its destination's kind.
    pub kind: String,
    /// Its zone; empty where it has none.
    pub zone: String,
    /// Whether it is warming up.
    pub cold: bool,
    /// Whether it is draining.
    pub draining: bool,
}

impl Facts {
    /// The facts that do not change while a target is listed.
    pub(crate) fn lasting(&self) -> Facts {
        Facts {
            zone: String::new(),
            cold: false,
            draining: false,
            ..self.clone()
        }
    }
}

/// A policy that was found sound.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Of two policies, the one with the higher number is in force.
    pub edition: u64,
    /// How long leases last.
    pub lease: LeaseTerms,
    /// In the order of their names; always with one called [`OTHERS`].
    pub members: Vec<String>,
    pub(super) budgets: Vec<Budget>,
    pub(super) rules: Vec<Rule>,
}

/// How long leases last.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct LeaseTerms {
    /// In milliseconds.
    pub lasts: f64,
    /// How often a holder asks for another one, in milliseconds.
    pub renew: f64,
    /// By how much a clock may go fast or slow, as a share.
    pub drift: f64,
}

#[derive(Clone, Debug)]
pub(super) struct Budget {
    pub(super) scope: Scope,
    pub(super) terms: PoolTerms,
}

#[derive(Clone, Debug)]
pub(super) struct Rule {
    pub(super) scope: Option<Scope>,
    pub(super) when: Condition,
    pub(super) change: Change,
}

/// What a rule puts in the place of its budget's terms.
#[derive(Clone, Debug, Default)]
pub(super) struct Change {
    pub(super) connections: Option<u32>,
    pub(super) part: Option<Percent>,
    pub(super) reserve: Option<u32>,
    pub(super) over: Option<Over>,
    pub(super) members: Vec<ChangedMember>,
}

/// A change of the member at that position.
#[derive(Clone, Debug)]
pub(super) struct ChangedMember {
    pub(super) member: usize,
    pub(super) change: MemberChange,
}

#[derive(Clone, Debug, Default)]
pub(super) struct MemberChange {
    pub(super) weight: Option<u32>,
    pub(super) floor: Option<u32>,
    pub(super) ceiling: Option<u32>,
    pub(super) lends: Option<Reach>,
    pub(super) borrows: Option<bool>,
}

/// Whom a member's unused share may reach.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reach {
    /// Every member that borrows.
    All,
    /// The members at these positions, in order; what those can't use goes on along their own lists.
    Only(Vec<usize>),
}

/// What holds for one pool. Numbers are connections of all forwarders together, idle ones too.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolTerms {
    /// All connections.
    pub connections: u32,
    /// Of these, for health checks and trials.
    pub reserve: u32,
    /// Of these, for forwarders that hold no lease.
    pub standing: u32,
    /// How a member's share is divided over forwarders.
    pub over: Over,
    /// In the order of [`Policy::members`].
    pub members: Vec<MemberTerms>,
}

/// What holds for one member at a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberTerms {
    /// Its weight among the members.
    pub weight: u32,
    /// Connections that it has at the least.
    pub floor: u32,
    /// Connections that it has at the most.
    pub ceiling: u32,
    /// Whom its unused share may reach.
    pub lends: Reach,
    /// Whether it may use others' unused shares.
    pub borrows: bool,
}

impl MemberChange {
    pub(super) fn apply(&self, terms: &mut MemberTerms) {
        terms.weight = self.weight.unwrap_or(terms.weight);
        terms.floor = self.floor.unwrap_or(terms.floor);
        terms.ceiling = self.ceiling.unwrap_or(terms.ceiling);
        terms.borrows = self.borrows.unwrap_or(terms.borrows);
        if let Some(lends) = &self.lends {
            terms.lends = lends.clone();
        }
    }
}

/// A part of a budget in whole connections; one at the least.
fn part_of(connections: u32, part: Percent) -> u32 {
    ((u64::from(connections) * part.0 / 10_000) as u32).max(1)
}

impl Change {
    /// Of two rules, the one that leaves fewer connections holds. `base` is the budget's own number of connections.
    pub(super) fn apply(&self, base: u32, terms: &mut PoolTerms) {
        let connections = match self.part {
            Some(part) => Some(part_of(base, part)),
            None => self.connections,
        };
        if let Some(connections) = connections {
            terms.connections = connections.min(terms.connections);
        }
        terms.reserve = self.reserve.unwrap_or(terms.reserve);
        terms.over = self.over.unwrap_or(terms.over);
        for ChangedMember { member, change } in &self.members {
            change.apply(&mut terms.members[*member]);
        }
    }
}

/// How narrow a scope is: of several budgets the narrowest holds.
fn rank(scope: &Scope) -> u8 {
    match scope {
        Scope::Target(_) => 3,
        Scope::Destination(_)
        | Scope::Each {
            of: Selection::Destination(_),
            ..
        } => 2,
        Scope::Each {
            of: Selection::Kind(_),
            ..
        } => 1,
        Scope::Each {
            of: Selection::All, ..
        } => 0,
    }
}

fn holds_for(scope: &Scope, facts: &Facts) -> bool {
    match scope {
        Scope::Target(name) => *name == facts.target,
        Scope::Destination(number) => *number == facts.destination,
        Scope::Each {
            of: Selection::All, ..
        } => true,
        Scope::Each {
            of: Selection::Kind(kind),
            ..
        } => *kind == facts.kind,
        Scope::Each {
            of: Selection::Destination(number),
            ..
        } => *number == facts.destination,
    }
}

impl Condition {
    fn holds(&self, facts: &Facts) -> bool {
        match self {
            Condition::Any(conditions) => conditions.iter().any(|one| one.holds(facts)),
            Condition::All(conditions) => conditions.iter().all(|one| one.holds(facts)),
            Condition::Not(condition) => !condition.holds(facts),
            Condition::WarmingUp => facts.cold,
            Condition::Draining => facts.draining,
            Condition::Zone(names) => names.iter().any(|name| name.value == facts.zone),
            Condition::Kind(names) => names.iter().any(|name| name.value == facts.kind),
            Condition::Destination(number) => *number == facts.destination,
        }
    }
}

impl Rule {
    fn holds(&self, facts: &Facts) -> bool {
        let is_in_scope = self
            .scope
            .as_ref()
            .is_none_or(|scope| holds_for(scope, facts));
        is_in_scope && self.when.holds(facts)
    }
}

impl Policy {
    fn budget(&self, facts: &Facts) -> Option<&Budget> {
        let matching = self
            .budgets
            .iter()
            .filter(|budget| holds_for(&budget.scope, facts));
        matching.max_by_key(|budget| rank(&budget.scope))
    }

    /// Where the connections to a target are counted; `None` where no budget holds for it.
    pub fn pool(&self, facts: &Facts) -> Option<PoolId> {
        let counted = match &self.budget(facts)?.scope {
            Scope::Target(_) => CountedAt::Target,
            Scope::Destination(_) => CountedAt::Destination,
            Scope::Each { counted, .. } => *counted,
        };
        Some(match counted {
            CountedAt::Target => PoolId::Target(facts.target.clone()),
            CountedAt::Destination => PoolId::Destination(facts.destination),
        })
    }

    /// The terms whatever the rules say: their connections are never more.
    pub fn base(&self, facts: &Facts) -> Option<&PoolTerms> {
        self.budget(facts).map(|budget| &budget.terms)
    }

    /// The terms with the rules whose conditions hold, in the order written.
    pub fn terms(&self, facts: &Facts) -> Option<PoolTerms> {
        let base = self.base(facts)?;
        let mut terms = base.clone();
        for rule in self.rules.iter().filter(|rule| rule.holds(facts)) {
            rule.change.apply(base.connections, &mut terms);
        }
        Some(terms)
    }

    /// The position of a member by its name; that of [`OTHERS`] where the policy does not name it.
    pub fn member(&self, name: &str) -> MemberId {
        let position_of = |name: &str| self.members.iter().position(|member| member == name);
        let position = position_of(name).or_else(|| position_of(OTHERS));
        MemberId(position.unwrap_or(0) as u16)
    }
}
