//! Which target gets which request and when: the decision module applied to the serving tier, without I/O.
mod interface;
pub use interface::*;
pub use plankhill::interface::{Fate, Ms};
pub mod retry;
