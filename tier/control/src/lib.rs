//! The replicated control state of the serving tier as a pure state machine.
//!
//! [`ControlState`] changes only by [`Operation`]s, which the chain puts into a total order. Applying
//! an operation is deterministic: it depends only on the state and the operation, without a clock,
//! random numbers or I/O. Every controller that applies the same operations therefore has the same
//! state.
//!
//! The replica of each controller (`plankhill-replica`) owns the state and applies operations to
//! it. The controller (`plankhill-controller`) proposes operations, reads committed states, and
//! sends the tables built from them ([`build_tables`], [`diff_tables`]) to the data plane.
//!
//! [`ControlState`], [`Operation`] and [`Outcome`] are stored and sent between controllers: the
//! order of their variants and fields is part of the format. `tests/stored_format.rs` checks their
//! encoding.

mod configuration;
mod drain_order;
mod drains;
mod edges;
mod operation;
mod outcome;
mod retirements;
mod singleton;
mod state;
mod stores;
mod tables;
mod targets;

pub use configuration::{ConfigurationHistory, MAX_ACCEPTED_REMEMBERED};
pub use drain_order::{DrainAction, DrainOrder};
pub use drains::Drains;
pub use edges::Edges;
pub use operation::Operation;
pub use outcome::Outcome;
pub use retirements::{Retirement, Retirements};
pub use singleton::{ExpiredTarget, SingletonTask};
pub use state::ControlState;
pub use stores::Stores;
pub use tables::{build_tables, diff_tables};
pub use targets::Targets;
