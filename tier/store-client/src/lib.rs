//! How a proxy asks the stores: one call to one store, in its own zone first; another store when that one
//! fails or is slow. Repeating a call is harmless, so every failure moves on.

mod calls;
mod choice;
mod client;
mod turns;

pub use calls::{StoreCalls, TcpStores};
pub use choice::StoreChoice;
pub use client::StoreClient;
pub use turns::{BeginOutcome, BeginTurn, EndOutcome, EndTurn};
