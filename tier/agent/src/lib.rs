//! The process beside each proxy that links it to the control plane: it follows a controller, feeds the proxy
//! of the same machine over loopback, watches a few peers, and is the home of some services in its zone.

mod end;
pub mod feeder;
pub mod homes;
mod identity;
pub mod peers;
mod run;

pub use run::{run, RunError};
