//! The storage process: conversations' retained turns and programs' token budgets on disk.
//!
//! [`run`] starts the process. A [`node::Node`] answers proxies and other stores ([`peers`]) and owns all
//! state of the store; [`storage`] is its disk; [`control_plane`] brings views of the stores and reports
//! finished transfers. Everything but the thread that writes to the disk runs on one thread.

pub mod clock;
pub mod control_plane;
pub mod limits;
pub mod node;
pub mod peers;
mod process;
pub mod storage;

pub use process::{run, RunError};
