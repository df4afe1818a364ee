//! What several instances of the forwarder agree on: who they are, the links between them, and groups whose
//! log a majority keeps. No decision about an event stands here. Off unless a fleet file is named
//! (`docs/instances.md`).

pub mod core;
pub mod course;
pub mod disk;
pub mod groups;
pub mod handle;
pub mod ids;
pub mod links;
pub mod machine;
pub mod mail;
pub mod ring;
pub mod roll;
pub mod start;
pub mod watchdog;
pub mod wire;

pub use handle::{GroupEventStream, RaftGroups};
pub use ids::*;
pub use machine::{CorruptSnapshot, StateMachine};
pub use mail::{GroupEvent, GroupRequest};
pub use start::{start, StartOptions, StateMachineFactory};
