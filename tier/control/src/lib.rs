//! The replicated control state of the serving tier as a pure state machine.
//!
//! [`ControlState`] changes only by [`Operation`]s, applied in the one order that the chain gives. Applying
//! depends on nothing but the state and the operation: no clock, no random numbers, no I/O.

mod configuration;
mod drains;
mod edges;
mod operation;
mod retirements;
mod state;
mod stores;
mod tables;
mod targets;

pub use configuration::{ConfigurationHistory, TAKEN_KEPT};
pub use drains::{DrainOrder, Drains};
pub use edges::Edges;
pub use operation::{Duty, ExpiredTarget, Operation, Outcome};
pub use retirements::{Retirement, Retirements};
pub use state::ControlState;
pub use stores::Stores;
pub use tables::{changes_between, tables_of};
pub use targets::Targets;
