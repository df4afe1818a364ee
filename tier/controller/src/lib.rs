//! The control plane process: the admin interface for operators and targets, the subscriptions of
//! agents and stores, and the singleton tasks that one controller at a time runs.
//!
//! All durable state is replicated by the chain ([`ControlLog`]). The only other state of a
//! controller is in memory: the time of the last message from each target and each machine
//! ([`liveness`]), which every controller reports to the head of the chain.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`run()`] | starts the process, reloads settings, shuts down |
//! | [`tasks`] | starts the tasks of one controller |
//! | [`controller`] | the state that the tasks share |
//! | [`control_log`] | the interface to the chain |
//! | [`admin`] | HTTP for operators and targets |
//! | [`internal_server`] | connections from other processes of the tier |
//! | [`feed`] | subscriptions of agents and stores |
//! | [`change_log`] | recent changes to the tables, for subscribers that lag |
//! | [`liveness`], [`liveness_reports`] | which senders are alive, as seen by this and other controllers |
//! | [`singleton`] | expiry of targets, edges and stores, run by the head of the chain |

pub mod admin;
pub mod change_log;
pub mod control_log;
pub mod controller;
pub mod feed;
pub mod internal_server;
mod limited_listener;
pub mod liveness;
pub mod liveness_reports;
mod run;
pub mod singleton;
pub mod subscribers;
pub mod tasks;

pub use control_log::{CommittedControlState, ControlLog};
pub use controller::Controller;
pub use run::{run, RunError};
