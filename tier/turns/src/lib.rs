//! Retained turns and token budgets over several stores, without I/O.

pub mod account;
pub mod peer;
pub mod placement;
pub mod wire;
