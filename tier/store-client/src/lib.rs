//! How a proxy asks the stores: one call to one store, in its own zone first; another store when that one
//! fails or does not answer in time. Repeating a call is harmless, so every failure moves on.

mod choice;
mod client;

pub use choice::StoreChoice;
pub use client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn, StoreClient};
