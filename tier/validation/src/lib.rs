//! Faults of checked input, each named with its key. Settings and configuration report their faults
//! by this package, and the command line prints them.

mod fault;
mod flatten;

pub use fault::{Fault, Faults};
pub use flatten::faults_of;
