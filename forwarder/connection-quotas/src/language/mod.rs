//! The language of quota policies: from a text to a checked [`Policy`].
//!
//! A text goes through the modules in this order; each knows only those before it.
//!
//! | module | step |
//! | --- | --- |
//! | `diagnostic` | errors with position, key and a way out |
//! | `tree`, `print` | the syntax tree, and its text again |
//! | `grammar`, `parse_parts`, `read` | from text to tree |
//! | `policy`, `lending` | the checked policy, and whom a member's unused share may reach |
//! | `checks` | bounds, names, members, budgets, and whether all that fits together |
//! | `check` | from tree to policy |

mod check;
mod checks;
mod diagnostic;
mod grammar;
pub mod lending;
mod parse_parts;
mod policy;
mod print;
mod read;
pub mod tree;

pub use check::{check, LANGUAGE_VERSION};
pub use checks::{KnownNames, MAX_CONNECTIONS, MAX_MEMBERS};
pub use diagnostic::{Diagnostic, PolicyErrors};
pub use policy::{
    Facts, LeaseTerms, MemberId, MemberTerms, Policy, PoolId, PoolTerms, Reach, OTHERS,
};
pub use read::{read, MAX_NESTING, MAX_TEXT_BYTES};
