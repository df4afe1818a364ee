//! The state of a node. Each struct owns one part of the state, and only that struct changes it.
//!
//! The structs make no calls to other stores and, except for [`RowWriter`], write no rows: the node's
//! other modules do both.

mod chain_memory;
mod hint_table;
mod row_writer;
mod turn_table;
mod unwritten_states;
mod view_state;

pub(super) use chain_memory::{ChainMemory, ChainReservation};
pub(super) use hint_table::{HintTable, MissedUpdate};
pub(super) use row_writer::RowWriter;
pub(super) use turn_table::{TurnTable, UpdateBatch};
pub(super) use view_state::ViewState;
