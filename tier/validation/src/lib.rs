//! Faults of checked input, each named with its key; shared by settings and configuration.

mod fault;
mod flatten;

pub use fault::{Fault, Faults};
pub use flatten::faults_of;
