//! Runs a member of the chain: storage, connections and clock around `plankhill-chain`.
//!
//! [`Log`] is the handle that the rest of the process uses; the member itself runs as one task.

mod control;
mod handle;
mod links;
mod machine;
mod start;
mod state;
pub mod storage;
mod task;

pub use handle::{ReplicaHandle, ReplicaStatus, Unavailable};
pub use start::{start, ReplicaSettings, StartError};
pub use state::{CommittedState, ReplicatedState};
