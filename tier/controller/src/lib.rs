//! The control plane process: operator API, heartbeats of targets, subscriptions of agents and stores, and the
//! housekeeping that one controller at a time does.
//!
//! Everything that lasts goes through the chain ([`ControlLog`]); what this process knows besides is who it
//! heard lately.

pub mod admin;
pub mod change_log;
pub mod duties;
pub mod feed;
pub mod first_seen;
pub mod internal;
pub mod liveness;
pub mod log;
pub mod process;
mod run;

pub use log::{Committed, ControlLog};
pub use process::Controller;
pub use run::{run, RunError};
