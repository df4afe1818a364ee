//! The language of pool policies: grammar, tree, text again, and the checks that make a policy of a tree.

mod check;
mod check_budgets;
mod check_members;
pub mod fault;
mod grammar;
pub mod lending;
mod parts;
mod policy;
mod print;
mod read;
pub mod tree;

pub use check::{check, Known, LANGUAGE, MOST_CONNECTIONS, MOST_MEMBERS};
pub use fault::{Fault, Faults};
pub use policy::*;
pub use read::{read, DEEPEST, LONGEST};
