//! Recovery of disks that refuse writes temporarily, for example because they are full: the delay between
//! two write attempts, and a check whether the next attempt may succeed.
//!
//! The storage process (`plankhill-store`) and the controllers' replicas (`plankhill-replica`) use both.
//! Each caller owns its [`Backoff`]; callers share no state.

mod backoff;
mod free_space;

pub use backoff::Backoff;
pub use free_space::check_free_space;
