//! A policy as it is written, each part with its position. Nothing here is checked yet.

use std::fmt;

/// A position in a policy's text.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Position {
    /// From 1.
    pub line: usize,
    /// From 1.
    pub column: usize,
}

/// A value with its position. Two are equal where their values are, wherever they stand.
#[derive(Clone, Copy, Debug)]
pub struct Located<T> {
    /// What is written.
    pub value: T,
    /// Where.
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

/// A whole policy.
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
    /// In milliseconds.
    Lasts(Located<u64>),
    /// In milliseconds.
    Renew(Located<u64>),
    /// How far clocks may drift.
    Drift(Located<Percent>),
}

/// A `member` block.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberTree {
    /// The member's name.
    pub name: Located<String>,
    /// Its keys in the order written.
    pub keys: Vec<MemberKey>,
}

/// A key of a `member` block.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberKey {
    /// Its weight among the members.
    Weight(Located<u64>),
    /// Connections that it has at the least.
    Floor(Located<u64>),
    /// Connections that it has at the most.
    Ceiling(Located<u64>),
    /// Whom its unused share may go to.
    Lends(Located<Lends>),
    /// Whether it may use others' unused shares.
    Borrows(Located<bool>),
}

/// Whom a member's unused share may go to.
#[derive(Clone, Debug, PartialEq)]
pub enum Lends {
    /// To every member that borrows.
    All,
    /// To none.
    Nothing,
    /// To these.
    To(Vec<Located<String>>),
}

/// A `budget` block.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetTree {
    /// What it holds for.
    pub scope: Located<Scope>,
    /// Its keys in the order written.
    pub keys: Vec<BudgetKey>,
}

/// A `rule` block.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleTree {
    /// The rule's name.
    pub name: Located<String>,
    /// What it holds for; `None`: for all.
    pub scope: Option<Located<Scope>>,
    /// When it holds.
    pub when: Condition,
    /// What it changes, in the order written.
    pub keys: Vec<BudgetKey>,
}

/// A key of a `budget` or `rule` block.
#[derive(Clone, Debug, PartialEq)]
pub enum BudgetKey {
    /// Connections of all forwarders together.
    Connections(Located<Amount>),
    /// Connections for health checks and trials.
    Reserve(Located<u64>),
    /// Connections for forwarders without a lease.
    Standing(Located<u64>),
    /// How a member's share is divided over forwarders.
    Over(Located<Over>),
    /// What holds for a member here.
    Member(MemberTree),
}

/// A number of connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    /// Connections.
    Whole(u64),
    /// A part of the budget's connections.
    Part(Percent),
}

/// Hundredths of a percent: whole numbers print and compare exactly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Percent(pub u64);

/// How a member's share is divided over forwarders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Over {
    /// Evenly.
    Evenly,
    /// In proportion to what they want.
    ByDemand,
    /// Those in the target's zone first.
    ByZone,
}

/// What a budget or rule holds for, and where connections are counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Scope {
    /// One target.
    Target(String),
    /// All targets of a destination together.
    Destination(u64),
    /// Each of several, by itself.
    Each {
        /// Where connections are counted.
        counted: CountedAt,
        /// Of which targets.
        of: Selection,
    },
}

/// Where connections are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CountedAt {
    /// At each target by itself.
    Target,
    /// At all targets of a destination together.
    Destination,
}

/// Some of all targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Selection {
    /// All of them.
    All,
    /// Those of a kind.
    Kind(String),
    /// Those of a destination.
    Destination(u64),
}

/// When a rule holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// Any of these holds.
    Any(Vec<Condition>),
    /// All of these hold.
    All(Vec<Condition>),
    /// It does not hold.
    Not(Box<Condition>),
    /// The target is warming up.
    WarmingUp,
    /// The target is draining.
    Draining,
    /// The target is in one of these zones.
    Zone(Vec<Located<String>>),
    /// The target is of one of these kinds.
    Kind(Vec<Located<String>>),
    /// The target is of that destination.
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
