//! The control plane process: the admin interface of operators and targets, the subscriptions of
//! agents and stores, and the singleton tasks that one controller at a time does.
//!
//! Everything that lasts goes through the chain ([`ControlLog`]). Besides the chain, a controller
//! knows only when each target and each machine was last heard from ([`liveness`]); the controllers
//! report that to the head of the chain.
//!
//! | module | job |
//! | --- | --- |
//! | [`run`] | starts the process, reloads settings, shuts down |
//! | [`tasks`] | starts the tasks of one controller |
//! | [`controller`] | the state that the tasks share |
//! | [`control_log`] | the chain as the controller uses it |
//! | [`admin`] | HTTP for operators and targets |
//! | [`internal_server`] | connections of other processes of the tier |
//! | [`feed`] | subscriptions of agents and stores |
//! | [`change_log`] | the latest changes of the tables, for subscribers that lag |
//! | [`liveness`], [`liveness_reports`] | who was heard from, here and at other controllers |
//! | [`singleton`] | expiry of targets, edges and stores by the head of the chain |

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
