//! A checked policy, and its evaluation for the known facts of one target. A policy of this type contains no errors.

use serde::{Deserialize, Serialize};

use super::tree::{Condition, CountedAt, Over, Percent, Scope, Selection};

/// The member of all clients that the policy does not name.
pub const OTHERS: &str = "others";

/// The position of a member in its policy's list, which is in the order of names.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct MemberId(pub u16);

/// The pool in which connections are counted. The order of variants is part of the wire format.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum PoolId {
    /// One target, by its name.
    Target(String),
    /// All targets of a destination together, by its number.
    Destination(u64),
}

/// Known facts of a target, or of a destination's targets together. The order of fields is part of the wire format.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Facts {
    /// The target's name.
    pub target: String,
    /// The number of the target's destination.
    pub destination: u64,
    /// The kind of the target's destination.
    pub kind: String,
    /// The target's zone; empty if it has none.
    pub zone: String,
    /// Whether the target is warming up.
    pub cold: bool,
    /// Whether the target is draining.
    pub draining: bool,
}

impl Facts {
    /// The facts without those that may change while a target is listed.
    pub(crate) fn stable(&self) -> Facts {
        Facts {
            zone: String::new(),
            cold: false,
            draining: false,
            ..self.clone()
        }
    }
}

/// A policy that has passed all checks.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Of two policies, the one with the higher number is in force.
    pub edition: u64,
    /// The terms of leases.
    pub lease: LeaseTerms,
    /// The names of members, sorted. [`OTHERS`] is always among them.
    pub members: Vec<String>,
    pub(super) budgets: Vec<Budget>,
    pub(super) rules: Vec<Rule>,
}

/// The terms of leases.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct LeaseTerms {
    /// The time to live, in milliseconds.
    pub lasts: f64,
    /// The interval at which a holder requests another lease, in milliseconds.
    pub renew: f64,
    /// The maximum drift of a clock, fast or slow, as a fraction.
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

/// The terms of a budget that a rule overrides.
#[derive(Clone, Debug, Default)]
pub(super) struct Change {
    pub(super) connections: Option<u32>,
    pub(super) percent: Option<Percent>,
    pub(super) reserve: Option<u32>,
    pub(super) over: Option<Over>,
    pub(super) members: Vec<ChangedMember>,
}

/// A change of the terms of the member at a position.
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

/// The members that may borrow a member's unused share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reach {
    /// Every member that borrows.
    All,
    /// The members at these positions, in order. Connections that these cannot use are lent further along their own
    /// lists.
    Only(Vec<usize>),
}

/// The terms of one pool. Numbers are connections of all forwarders together, including idle ones.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolTerms {
    /// All connections.
    pub connections: u32,
    /// The part of `connections` that is reserved for health checks and trials.
    pub reserve: u32,
    /// The part of `connections` that is set aside for forwarders without a lease.
    pub standing: u32,
    /// How a member's share is divided over forwarders.
    pub over: Over,
    /// The terms of members, in the order of [`Policy::members`].
    pub members: Vec<MemberTerms>,
}

/// The terms of one member at a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberTerms {
    /// The member's weight.
    pub weight: u32,
    /// The minimum number of connections.
    pub floor: u32,
    /// The maximum number of connections.
    pub ceiling: u32,
    /// The members that may borrow its unused share.
    pub lends: Reach,
    /// Whether the member may borrow unused shares of others.
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

/// A percentage of a budget's connections, rounded down; at least 1.
fn percent_of(connections: u32, percent: Percent) -> u32 {
    ((u64::from(connections) * percent.0 / 10_000) as u32).max(1)
}

impl Change {
    /// Applies the change to a pool's terms. Of several rules that set the number of connections, the lowest number
    /// takes effect. `base` is the budget's own number of connections.
    pub(super) fn apply(&self, base: u32, terms: &mut PoolTerms) {
        let connections = match self.percent {
            Some(percent) => Some(percent_of(base, percent)),
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

/// The specificity of a scope: of several budgets the one with the most specific scope applies.
fn specificity(scope: &Scope) -> u8 {
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

fn contains(scope: &Scope, facts: &Facts) -> bool {
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
            .is_none_or(|scope| contains(scope, facts));
        is_in_scope && self.when.holds(facts)
    }
}

impl Policy {
    fn budget(&self, facts: &Facts) -> Option<&Budget> {
        let matching = self
            .budgets
            .iter()
            .filter(|budget| contains(&budget.scope, facts));
        matching.max_by_key(|budget| specificity(&budget.scope))
    }

    /// The pool in which connections to a target are counted; `None` if no budget applies to it.
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

    /// The terms without any rules. Rules never raise the number of connections.
    pub fn base(&self, facts: &Facts) -> Option<&PoolTerms> {
        self.budget(facts).map(|budget| &budget.terms)
    }

    /// The terms after applying the rules whose conditions hold, in the order written.
    pub fn terms(&self, facts: &Facts) -> Option<PoolTerms> {
        let base = self.base(facts)?;
        let mut terms = base.clone();
        for rule in self.rules.iter().filter(|rule| rule.holds(facts)) {
            rule.change.apply(base.connections, &mut terms);
        }
        Some(terms)
    }

    /// The position of a member by its name; that of [`OTHERS`] if the policy does not name it.
    pub fn member(&self, name: &str) -> MemberId {
        let position_of = |name: &str| self.members.iter().position(|member| member == name);
        let position = position_of(name).or_else(|| position_of(OTHERS));
        MemberId(position.unwrap_or(0) as u16)
    }
}
