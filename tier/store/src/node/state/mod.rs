//! The state of a node. Each struct owns one part of it, and is the only one that changes it.
//!
//! None of them waits: what follows from a change (rows to be written, calls to be made) is handed to
//! the node's other modules.

mod hint_table;
mod row_writer;
mod turn_table;
mod unwritten_states;
mod view_state;

pub(super) use hint_table::{HintTable, MissedUpdate};
pub(super) use row_writer::RowWriter;
pub(super) use turn_table::{TurnTable, UpdateBatch};
pub(super) use view_state::ViewState;
