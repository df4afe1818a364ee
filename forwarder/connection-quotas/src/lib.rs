//! Connection quotas of targets.
//!
//! A policy, written in a small policy language, limits how many connections all forwarders of a fleet together may
//! hold to a target, and how these are divided over members (kinds of clients) and forwarders. A pool is the set of
//! connections that one quota limits: those to one target, or those to all targets of a destination. `docs/pools.md` is
//! the reference of the language.
//!
//! | module | job |
//! | --- | --- |
//! | [`language`] | parses and checks a policy text |
//! | [`split`] | computes each forwarder's share of one pool |
//! | [`leases`] | grants shares as leases, so that the sum of connections that may be open never exceeds a quota |
//! | [`local`] | one forwarder's state: connections that are open, and connections that may be open |
//!
//! The crate does no I/O, starts no threads and reads no clock. The forwarder's server does: it owns a
//! [`local::LocalQuotas`], sends its encoded messages to the control group, and passes in the current time. The control
//! group is the Raft group whose log all instances of the fleet receive (`plankhill-raft-groups`).

pub mod language;
pub mod leases;
pub mod local;
pub mod split;

use language::{KnownNames, Policy, PolicyErrors};

/// Parses and checks a policy text. `file` names the text in errors.
///
/// # Errors
/// Every error of the text, up to a limit, each with its position and a suggested fix.
pub fn policy(file: &str, text: &str, known: &KnownNames) -> Result<Policy, PolicyErrors> {
    let tree = language::read(file, text)?;
    language::check(file, &tree, known)
}
