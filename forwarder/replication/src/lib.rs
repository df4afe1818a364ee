//! Replication of the forwarder's event log: losing a machine with its disk loses no event that was accepted.
//!
//! The event log of a forwarder is the log of a Raft group (`plankhill-raft-groups`). The instance that leads the group
//! is the owner of the events in it: it alone attempts them, and only while it holds the group's lease. If the owner is
//! lost, the group elects another instance, the successor, which adopts the pending events.
//!
//! This package makes the decisions, without I/O and without a clock; the forwarder's event loop calls it and carries
//! the decisions out:
//!
//! | module | decides |
//! | --- | --- |
//! | `state_machine` | what each replica of a group keeps |
//! | `proposals` | in which commands, numbers and order an owner's records are proposed |
//! | `pipeline` | when the effects of an event loop iteration are released |
//! | `roles` | which groups this instance owns, and in which it only completes the pending events |
//! | `adoption` | what a successor does with each pending event of a group that it was elected to lead |
//!
//! `docs/copies.md` discusses the design.

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
