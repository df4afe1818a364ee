//! The language of quota policies: parses and checks a text, which gives a [`Policy`].
//!
//! The modules in order of dependency: each uses only those listed before it.
//!
//! | module | step |
//! | --- | --- |
//! | `diagnostic` | errors with position, key and suggested fix |
//! | `tree`, `print` | the syntax tree, and its conversion back to text |
//! | `grammar`, `parse_parts`, `read` | parsing of a text into a tree |
//! | `policy`, `lending` | the checked policy, and the members that may borrow an unused share |
//! | `checks` | checks of bounds, names, members, budgets, and of their consistency |
//! | `check` | conversion of a tree into a checked policy |

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
