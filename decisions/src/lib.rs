//! Plankhill delivers events to other firms' systems. All that it decides stands in [`scheduler`]; the
//! names that a host and the decisions share stand in [`interface`].

pub mod interface;
pub mod scheduler;
mod state;
