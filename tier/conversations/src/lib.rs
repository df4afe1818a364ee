//! Retained turns and token budgets over several stores, without I/O.

pub mod account;
pub mod index;
pub mod peer;
pub mod placement;
pub mod rows;
pub mod wire;
