//! The storage process: retained turns and token budgets on disk.

pub mod clock;
pub mod disk;
pub mod figures;
pub mod link;
pub mod node;
pub mod peers;
mod process;

pub use process::{run, RunError};
