//! Connection budgets of targets. A policy in a language of its own says how many connections all forwarders
//! together may hold at a target, and how they go over members and forwarders; the split works out the parts;
//! leases hand them out so that the sum of what may be open is never above the budget. All of it is logic
//! without I/O, threads or clocks: the caller owns those. `docs/pools.md` is the reference.

pub mod language;
pub mod leases;
pub mod local;
pub mod split;

use language::{Faults, Known, Policy};

/// The policy that a text says, or every fault in it; `file` names it in them.
pub fn policy(file: &str, text: &str, known: &Known) -> Result<Policy, Faults> {
    let tree = language::read(file, text)?;
    language::check(file, &tree, known)
}
