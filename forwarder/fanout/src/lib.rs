//! Broadcasts to named lists of destinations: the state that the fleet replicates, how a broadcast is split
//! into one copy (an event) for each subscriber, which subscribers are slow, and which forwarder serves which
//! subscriber. Pure logic over a replicated log that all instances apply: no clock, no randomness, no I/O.
//! Every decision about an event stays with the decision module; this package only decides which instance
//! submits a copy to it. `docs/fanout.md` compares the alternatives.

mod apply;
pub mod bounds;
pub mod command;
pub mod coordinator;
mod copies;
mod detect;
pub mod host;
mod instances;
mod layout;
pub mod local_instance;
pub mod names;
mod plan;
pub mod state;
#[cfg(test)]
mod stored_format_tests;
mod verdict;
pub mod votes;

pub use bounds::Bounds;
pub use command::{Broadcast, Command, CopyEnd, Effect, Layout, Outcome, Rejection};
pub use coordinator::Coordinator;
pub use host::{Host, HostRequest};
pub use local_instance::LocalInstance;
pub use names::{
    copy_id, copy_of, BroadcastId, Cohort, InstanceId, ListName, Position, Subscriber,
};
pub use state::FanoutState;
pub use verdict::{Figures, Judged, Verdict};
