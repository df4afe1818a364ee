//! A policy as it is written, each part with its place. Nothing here is checked yet.

use std::fmt;

/// A place in a policy's text, both from 1.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Place {
    pub line: usize,
    pub column: usize,
}

/// Something with its place. Where it stands is no part of what it says: two are equal without it.
#[derive(Clone, Copy, Debug)]
pub struct At<T> {
    pub what: T,
    pub place: Place,
}

impl<T: PartialEq> PartialEq for At<T> {
    fn eq(&self, other: &Self) -> bool {
        self.what == other.what
    }
}

impl<T> From<T> for At<T> {
    fn from(what: T) -> Self {
        At {
            what,
            place: Place::default(),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tree {
    pub language: At<u64>,
    /// Of two policies, the one with the higher number is in force.
    pub edition: At<u64>,
    pub lease: Vec<At<Vec<LeaseKey>>>,
    pub members: Vec<MemberTree>,
    pub budgets: Vec<BudgetTree>,
    pub rules: Vec<RuleTree>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum LeaseKey {
    /// Milliseconds.
    Lasts(At<u64>),
    /// Milliseconds.
    Renew(At<u64>),
    Drift(At<Percent>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct MemberTree {
    pub name: At<String>,
    pub keys: Vec<MemberKey>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum MemberKey {
    Weight(At<u64>),
    Floor(At<u64>),
    Ceiling(At<u64>),
    Lends(At<Lends>),
    Borrows(At<bool>),
}

/// Whom a member's unused share may go to.
#[derive(Clone, Debug, PartialEq)]
pub enum Lends {
    All,
    Nothing,
    To(Vec<At<String>>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct BudgetTree {
    pub scope: At<Scope>,
    pub keys: Vec<BudgetKey>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RuleTree {
    pub name: At<String>,
    pub scope: Option<At<Scope>>,
    pub when: When,
    pub keys: Vec<BudgetKey>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum BudgetKey {
    Connections(At<Amount>),
    Reserve(At<u64>),
    Standing(At<u64>),
    Over(At<Over>),
    Member(MemberTree),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    Whole(u64),
    /// Of the budget's connections.
    Part(Percent),
}

/// Hundredths of a percent: whole numbers print and compare exactly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Percent(pub u64);

/// How a member's part goes over forwarders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Over {
    Evenly,
    ByDemand,
    /// Those in the target's zone first.
    ByZone,
}

/// What a budget holds for, and what counts connections there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Scope {
    Target(String),
    /// All its targets together.
    Destination(u64),
    Each {
        counted: Counted,
        of: Of,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Counted {
    Target,
    Destination,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Of {
    All,
    Kind(String),
    Destination(u64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum When {
    Any(Vec<When>),
    All(Vec<When>),
    Not(Box<When>),
    Cold,
    Draining,
    Zone(Vec<At<String>>),
    Kind(Vec<At<String>>),
    Destination(u64),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::Target(name) => write!(f, "target \"{name}\""),
            Scope::Destination(number) => write!(f, "destination {number}"),
            Scope::Each { counted, of } => {
                f.write_str(match counted {
                    Counted::Target => "each target",
                    Counted::Destination => "each destination",
                })?;
                match of {
                    Of::All => Ok(()),
                    Of::Kind(kind) => write!(f, " of kind \"{kind}\""),
                    Of::Destination(number) => write!(f, " of destination {number}"),
                }
            }
        }
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 % 100 {
            0 => write!(f, "{}%", self.0 / 100),
            rest => write!(f, "{}.{rest:02}%", self.0 / 100),
        }
    }
}
