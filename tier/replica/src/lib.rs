//! Runs one member of the chain: provides storage, connections and a clock for `plankhill-chain`.
//!
//! [`start`] opens the disk and spawns the task that owns the member. The controller keeps the
//! [`ReplicaHandle`] and passes each connection that another member opens to
//! [`ReplicaHandle::serve`]. `docs/system/chain.md` describes the protocol.

mod channels;
mod clock;
mod command;
mod committed_state;
mod control_state;
mod disk_wait;
mod driver;
mod handle;
mod peer_connections;
mod pending_calls;
mod published;
mod random;
mod settings;
mod start;
mod status;
pub mod storage;
mod typed_machine;

pub use committed_state::{CommittedState, ReplicatedState};
pub use handle::{ReplicaHandle, Unavailable};
pub use settings::ReplicaSettings;
pub use start::{start, StartError};
pub use status::ReplicaStatus;
