//! The groups' thread: it owns the replicas of all groups that this instance is in, and hands on what they make to
//! the disk, the links and the event loop.
//!
//! State, each piece in a module that knows nothing of the thread:
//!
//! | module | holds |
//! | --- | --- |
//! | `context` | what the thread is started with, and the ends of its rings |
//! | `hosted_group` | one group here |
//! | `peer_state` | one other instance |
//! | `pending_founding` | a group on its way to its first leader |
//! | `pending_stores` | what has to wait for the disk |
//! | `snapshot_transfer` | a snapshot on its way to or from another instance |
//!
//! What the thread does, each part an `impl` of [`GroupsThread`]:
//!
//! | module | job |
//! | --- | --- |
//! | `thread` | the loop: disk, links, requests, ticks |
//! | `on_request` | what the event loop asks for |
//! | `on_link` | who is heard, and who is reachable |
//! | `on_message` | what other instances send |
//! | `create` | new groups: founded here, or joined |
//! | `dissolve` | groups that end |
//! | `review` | which members are replaced |
//! | `capacity` | limits of what is kept for other instances |
//! | `snapshots` | snapshots in chunks |

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
