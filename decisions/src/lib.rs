//! Plankhill delivers events to other firms' systems. All that it decides stands in [`decide`]; the
//! names that a host and the decisions share stand in [`interface`].

pub mod decide;
pub mod interface;
mod state;
