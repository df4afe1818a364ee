//! What operators ask of a running forwarder. Nothing here does I/O: the forwarder reads the calls, writes
//! the record of the bans, and tells the module what follows.

mod bans;
mod calls;

pub use bans::{Bans, Change, Damaged};
pub use calls::{asked, Asked, Order, Refused, Reply};
