//! The groups thread, which owns the replicas of all groups on this instance and passes their output to the disk, the
//! links and the event loop.
//!
//! State, in modules that are independent of the thread:
//!
//! | module | contents |
//! | --- | --- |
//! | `context` | the inputs of the thread at its start, and its ends of the rings |
//! | `hosted_group` | one group on this instance |
//! | `peer_state` | one other instance |
//! | `pending_founding` | a group that has no leader yet |
//! | `pending_stores` | actions that wait for the disk |
//! | `snapshot_transfer` | a snapshot in transfer to or from another instance |
//!
//! Functions of the thread, each module an `impl` of [`GroupsThread`]:
//!
//! | module | job |
//! | --- | --- |
//! | `thread` | the main loop: disk, links, requests, ticks |
//! | `on_request` | requests of the event loop |
//! | `on_link` | acceptance and reachability of peers |
//! | `on_message` | messages from other instances |
//! | `create` | creation of groups, founded here or joined |
//! | `dissolve` | removal of groups |
//! | `review` | replacement of members |
//! | `capacity` | limits on the data stored for other instances |
//! | `snapshots` | transfer of snapshots in chunks |

mod capacity;
mod context;
mod create;
mod dissolve;
mod hosted_group;
mod on_link;
mod on_message;
mod on_request;
mod peer_state;
mod pending_founding;
mod pending_stores;
mod review;
mod snapshot_transfer;
mod snapshots;
mod thread;

pub use context::{InstanceContext, Rings, StoredState};
pub use thread::GroupsThread;
