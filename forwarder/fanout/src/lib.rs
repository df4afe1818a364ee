//! Broadcasts for named lists of destinations: what the fleet keeps of them, how they are spread into events,
//! which subscribers are slow, and which forwarder serves whom. Pure logic over a log that all instances
//! share: no clock is read, no chance drawn, no I/O done. Every decision about an event stays with the module;
//! here it is only settled which instance hands a copy to it. `docs/fanout.md` weighs the ways.

mod apply;
pub mod bounds;
pub mod command;
mod copies;
mod detect;
pub mod host;
mod instances;
mod layout;
pub mod leading;
pub mod names;
mod plan;
pub mod state;
pub mod station;
#[cfg(test)]
mod stored_format_tests;
pub mod sums;
mod verdict;

pub use bounds::Bounds;
pub use command::{Broadcast, Command, CopyEnd, Layout, News, Outcome, Rejection};
pub use host::{Host, HostRequest};
pub use leading::Coordinator;
pub use names::{
    copy_id, copy_of, BroadcastId, Cohort, InstanceId, ListName, Position, Subscriber,
};
pub use state::FanoutState;
pub use station::LocalInstance;
pub use verdict::{Figures, Judged, Verdict};
