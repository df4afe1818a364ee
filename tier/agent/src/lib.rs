//! The process beside each proxy that links it to the control plane. It keeps nothing on disk.
//!
//! - `run` puts the process together; `shutdown` ends it in order.
//! - [`feeder`] sends the tables of this machine to its proxy, and to other agents while this
//!   machine is the home of its zone.
//! - [`homes`] takes updates from the home of the zone in place of the controller.
//! - [`failure_detection`] probes a few peers and reports those that have failed.
//!
//! The tables and the status of the link to the controllers are owned by one
//! [`Subscription`](plankhill_protocol::subscription::Subscription), which all of these share.

pub mod failure_detection;
pub mod feeder;
pub mod homes;
mod identity;
mod run;
mod shutdown;

pub use run::{run, RunError};
