//! What the instances of a fleet of forwarders agree on: who they are, the links between them, and Raft groups whose
//! log a majority keeps. No decision about an event is made here. Nothing of it runs unless a fleet file is named
//! (`docs/instances.md`).
//!
//! An instance has three threads beside the forwarder's event loop, joined by bounded rings:
//!
//! | thread | module | owns |
//! | --- | --- | --- |
//! | `fleet-groups` | [`groups`] | the replicas of all groups ([`replica`]), and who is reachable |
//! | `fleet-disk` | [`disk`] | the instance's folder |
//! | `fleet-links` | [`links`] | the connections to other instances ([`wire`] has what is sent) |
//!
//! The event loop calls [`start`], hands in [`GroupRequest`]s through [`RaftGroups`], and takes [`GroupEvent`]s from
//! the [`GroupEventStream`]. [`StateMachine`]s are the event loop's own: `plankhill-replication` has the event log's,
//! the forwarder's server those of the control group.

pub mod disk;
pub mod founding;
pub mod groups;
mod handle;
mod ids;
mod leases;
pub mod links;
pub mod placement;
pub mod replica;
mod requests;
pub mod ring;
mod start;
mod state_machine;
pub mod watchdog;
pub mod wire;

pub use handle::{GroupEventStream, RaftGroups, MAX_COMMAND_LEN, MAX_REPORT_LEN};
pub use ids::{GroupId, Incarnation, InstanceName, Purpose, Term};
pub use requests::{GroupEvent, GroupRequest};
pub use start::{start, StartOptions, StateMachineFactory};
pub use state_machine::{CorruptSnapshot, StateMachine};
