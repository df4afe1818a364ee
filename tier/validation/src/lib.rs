//! Validation faults of input documents, each with the key of the invalid value. The settings and
//! configuration packages report their faults with these types, and the command line prints them.

mod fault;
mod flatten;

pub use fault::{Fault, Faults};
pub use flatten::faults_of;
