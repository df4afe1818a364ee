//! The storage process, which keeps the retained turns of conversations and the token budgets of programs
//! on disk.
//!
//! [`run`] starts the process. A [`node::Node`] answers proxies and other stores ([`peers`]) and owns all
//! state of the store; [`storage`] keeps its rows on disk; [`control_plane`] receives views of the stores
//! and reports finished transfers. Everything except the disk writer runs on one thread.

pub mod clock;
pub mod control_plane;
pub mod limits;
pub mod node;
pub mod peers;
mod process;
pub mod storage;

pub use process::{run, RunError};
