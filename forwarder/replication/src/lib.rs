//! Copies of what a forwarder holds: losing a machine with its disk loses nothing that was promised. The
//! record of a forwarder is the log of a group (`docs/copies.md`). Here stand what the group keeps, what a
//! round of its owner waits for before anything leaves, and what an heir does with each event that it finds.
//! No I/O and no clock; the forwarder carries it out.

pub mod adoption;
pub mod pipeline;
pub mod proposals;
pub mod roles;
pub mod state_machine;

pub use adoption::{plan_adoption, AdoptionAction, LocalKnowledge};
pub use pipeline::{CommitPipeline, ReleasedIteration};
pub use proposals::ProposalQueue;
pub use roles::{GroupRoles, LeaderRole};
pub use state_machine::{EventLogStateMachine, LocalReplicas};
