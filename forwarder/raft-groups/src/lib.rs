//! Coordination between the instances of a fleet of forwarders: instance identity, the links between instances, and
//! Raft groups whose logs are replicated to a majority. This package makes no decision about events. It runs only if a
//! fleet file is configured (`docs/instances.md`).
//!
//! An instance has three threads besides the forwarder's event loop, connected by bounded rings:
//!
//! | thread | module | owns |
//! | --- | --- | --- |
//! | `fleet-groups` | [`groups`] | the replicas of all groups ([`replica`]) and the reachability of peers |
//! | `fleet-disk` | [`disk`] | the instance's folder |
//! | `fleet-links` | [`links`] | the connections to other instances ([`wire`] defines the messages) |
//!
//! The event loop calls [`start`], submits [`GroupRequest`]s through [`RaftGroups`], and receives [`GroupEvent`]s from
//! the [`GroupEventStream`]. The event loop provides the [`StateMachine`]s: `plankhill-replication` implements the one
//! for event logs, the forwarder's server those for the control group.

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
