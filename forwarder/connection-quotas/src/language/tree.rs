//! The syntax tree of a policy, with positions. Nothing here is checked yet.

use std::fmt;

/// A position in a policy's text.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
}

/// A value with its position. Equality compares the values and ignores the positions.
#[derive(Clone, Copy, Debug)]
pub struct Located<T> {
    /// The value as written.
    pub value: T,
    /// The position in the text.
    pub position: Position,
}

impl<T: PartialEq> PartialEq for Located<T> {
    fn eq(&self, other: &Self) -> bool {
        self.value == other.value
    }
}

impl<T> From<T> for Located<T> {
    fn from(value: T) -> Self {
        Located {
            value,
            position: Position::default(),
        }
    }
}

/// A complete policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Tree {
    /// The version of the language.
    pub language: Located<u64>,
    /// Of two policies, the one with the higher number is in force.
    pub edition: Located<u64>,
    /// The `lease` blocks.
    pub lease: Vec<Located<Vec<LeaseKey>>>,
    /// The `member` blocks outside of budgets and rules.
    pub members: Vec<MemberTree>,
    /// The `budget` blocks.
    pub budgets: Vec<BudgetTree>,
    /// The `rule` blocks.
    pub rules: Vec<RuleTree>,
}

/// A key of a `lease` block.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseKey {
    /// The time to live of a lease, in milliseconds.
    Lasts(Located<u64>),
    /// The interval of renewals, in milliseconds.
    Renew(Located<u64>),
    /// The maximum drift of clocks.
    Drift(Located<Percent>),
}

/// A `member` block.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberTree {
    /// The member's name.
    pub name: Located<String>,
    /// The keys in the order written.
    pub keys: Vec<MemberKey>,
}

/// A key of a `member` block.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberKey {
    /// The member's weight.
    Weight(Located<u64>),
    /// The minimum number of connections.
    Floor(Located<u64>),
    /// The maximum number of connections.
    Ceiling(Located<u64>),
    /// The members that may borrow its unused share.
    Lends(Located<Lends>),
    /// Whether the member may borrow unused shares of others.
    Borrows(Located<bool>),
}

/// The members that may borrow a member's unused share.
#[derive(Clone, Debug, PartialEq)]
pub enum Lends {
    /// Every member that borrows.
    All,
    /// No member.
    Nothing,
    /// The named members.
    To(Vec<Located<String>>),
}

/// A `budget` block.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetTree {
    /// The targets that the budget applies to.
    pub scope: Located<Scope>,
    /// The keys in the order written.
    pub keys: Vec<BudgetKey>,
}

/// A `rule` block.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleTree {
    /// The rule's name.
    pub name: Located<String>,
    /// The targets that the rule applies to; `None` for all targets.
    pub scope: Option<Located<Scope>>,
    /// The condition under which the rule applies.
    pub when: Condition,
    /// The changed keys in the order written.
    pub keys: Vec<BudgetKey>,
}

/// A key of a `budget` or `rule` block.
#[derive(Clone, Debug, PartialEq)]
pub enum BudgetKey {
    /// Connections of all forwarders together.
    Connections(Located<Amount>),
    /// Connections for health checks and trials.
    Reserve(Located<u64>),
    /// Standing connections, for forwarders without a lease.
    Standing(Located<u64>),
    /// How a member's share is divided over forwarders.
    Over(Located<Over>),
    /// The terms of a member in this block.
    Member(MemberTree),
}

/// A number of connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    /// An absolute number.
    Count(u64),
    /// A percentage of the budget's connections.
    Percent(Percent),
}

/// A percentage in hundredths of a percent. Integers print and compare exactly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Percent(pub u64);

/// How a member's share is divided over forwarders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Over {
    /// Evenly.
    Evenly,
    /// In proportion to the forwarders' demands.
    ByDemand,
    /// To forwarders in the target's zone first.
    ByZone,
}

/// The targets that a budget or rule applies to, and the place where connections are counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Scope {
    /// One target.
    Target(String),
    /// All targets of a destination together.
    Destination(u64),
    /// Each of several targets or destinations separately.
    Each {
        /// The place where connections are counted.
        counted: CountedAt,
        /// The targets selected.
        of: Selection,
    },
}

/// The place where connections are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CountedAt {
    /// At each target separately.
    Target,
    /// At all targets of a destination together.
    Destination,
}

/// A subset of all targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Selection {
    /// All targets.
    All,
    /// The targets of destinations of a kind.
    Kind(String),
    /// The targets of a destination.
    Destination(u64),
}

/// The condition under which a rule applies.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// At least one of the conditions holds.
    Any(Vec<Condition>),
    /// All of the conditions hold.
    All(Vec<Condition>),
    /// The condition does not hold.
    Not(Box<Condition>),
    /// The target is warming up.
    WarmingUp,
    /// The target is draining.
    Draining,
    /// The target is in one of these zones.
    Zone(Vec<Located<String>>),
    /// The target's destination is of one of these kinds.
    Kind(Vec<Located<String>>),
    /// The target belongs to the destination of this number.
    Destination(u64),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::Target(name) => write!(f, "target \"{name}\""),
            Scope::Destination(number) => write!(f, "destination {number}"),
            Scope::Each { counted, of } => write!(f, "{counted}{of}"),
        }
    }
}

impl fmt::Display for CountedAt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CountedAt::Target => "each target",
            CountedAt::Destination => "each destination",
        })
    }
}

impl fmt::Display for Selection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Selection::All => Ok(()),
            Selection::Kind(kind) => write!(f, " of kind \"{kind}\""),
            Selection::Destination(number) => write!(f, " of destination {number}"),
        }
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 % 100 {
            0 => write!(f, "{}%", self.0 / 100),
            hundredths => write!(f, "{}.{hundredths:02}%", self.0 / 100),
        }
    }
}
