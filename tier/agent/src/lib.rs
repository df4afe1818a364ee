//! The agent: the process on each proxy machine that connects the proxy to the control plane. The
//! agent stores nothing on disk.
//!
//! - `run` starts the process; `shutdown` stops it gracefully.
//! - [`feeder`] sends the tables of this machine to its proxy, and to other agents while this
//!   machine is the home of its zone.
//! - [`homes`] receives updates from the home of the zone instead of the controller.
//! - [`failure_detection`] probes a few peers and reports those that have failed.
//!
//! The tables and the status of the connection to the controllers are owned by one
//! [`Subscription`](plankhill_protocol::subscription::Subscription), which all modules share.

pub mod failure_detection;
pub mod feeder;
pub mod homes;
mod identity;
mod run;
mod shutdown;

pub use run::{run, RunError};
