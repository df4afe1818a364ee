//! Copies of what a forwarder holds: losing a machine with its disk loses nothing that was promised. The
//! record of a forwarder is the log of a group (`docs/copies.md`). Here stand what the group keeps, what a
//! round of its owner waits for before anything leaves, and what an heir does with each event that it finds.
//! No I/O and no clock; the forwarder carries it out.

pub mod adoption;
pub mod machine;
pub mod pipeline;
pub mod proposals;
pub mod roles;

pub use adoption::{adopts, Adopts, Finds};
pub use machine::{KeptHere, RecordMachine};
pub use pipeline::{Pipeline, Released};
pub use proposals::Proposals;
pub use roles::{Leads, Roles};
