//! Runs a member of the chain: storage, connections and clock around `plankhill-chain`.
//!
//! [`Log`] is the handle that the rest of the process uses; the member itself runs as one task.

mod control;
pub mod handle;
pub mod state;

pub use handle::{Log, Standing, Unavailable};
pub use state::{AppliedOperation, CommittedState, ReplicatedState};
