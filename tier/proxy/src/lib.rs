//! The data plane process: takes requests of clients, passes each to the target that the dispatcher names,
//! and passes the answer back.
//!
//! One thread does all of it. Tables come from the agent of the same machine; turns and budgets lie with the
//! stores.

pub mod admission;
pub mod answer;
pub mod body;
pub mod client_stream;
pub mod clock;
pub mod connect;
pub mod decisions;
pub mod draining;
pub mod exchange;
pub mod facts;
mod feed;
pub mod headers;
pub mod intake;
pub mod life;
pub mod listener;
pub mod memory;
pub mod orders;
pub mod ping;
pub mod plain;
pub mod process;
pub mod reading;
pub mod ready;
mod run;
pub mod shutdown;
pub mod snapshot;
pub mod stream;
pub mod target_pool;
pub mod turn;
pub mod turn_store;
pub mod whole;

pub use run::{run, RunError};
