//! Disks that refuse writes for a while, as full ones do: the delay between two attempts, and a check
//! whether the next attempt may succeed.
//!
//! The storage process (`plankhill-store`) and the controllers' replicas (`plankhill-replica`) use both
//! parts. Each caller owns its [`Backoff`]; nothing is shared.

mod backoff;
mod free_space;

pub use backoff::Backoff;
pub use free_space::check_free_space;
