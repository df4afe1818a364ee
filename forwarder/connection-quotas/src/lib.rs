//! Connection quotas of targets.
//!
//! A policy in a language of its own says how many connections all forwarders of a fleet together may hold at a
//! target, and how they are divided over members (kinds of clients) and forwarders. `docs/pools.md` is its reference.
//!
//! | module | job |
//! | --- | --- |
//! | [`language`] | from a policy's text to a checked policy |
//! | [`split`] | each forwarder's share of one pool |
//! | [`leases`] | shares as leases, so that the sum of what may be open never passes a quota |
//! | [`local`] | one forwarder's side: what is open here, and what may be |
//!
//! All of it is logic without I/O, threads or clocks. The forwarder's server owns those: it keeps a
//! [`local::LocalQuotas`], carries its bytes to the control group's log, and tells it the time.

pub mod language;
pub mod leases;
pub mod local;
pub mod split;

use language::{KnownNames, Policy, PolicyErrors};

/// The policy that a text says; `file` names the text in errors.
///
/// # Errors
/// Every error of the text, up to a bound, each with its position and a way out.
pub fn policy(file: &str, text: &str, known: &KnownNames) -> Result<Policy, PolicyErrors> {
    let tree = language::read(file, text)?;
    language::check(file, &tree, known)
}
