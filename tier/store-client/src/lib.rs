//! The client with which a proxy calls the stores.
//!
//! A call goes to one store, preferably in the proxy's own zone, and to another store if the first one
//! fails or is slow (a hedged request). Calls are idempotent, so every failure is followed by a call to the
//! next store. Each proxy (`plankhill-proxy`) owns one [`StoreClient`] and passes it the views of the
//! stores that the control plane sends.

mod client;
mod in_flight;
mod selector;
mod transport;
mod turns;

pub use client::StoreClient;
pub use selector::StoreSelector;
pub use transport::{StoreTransport, TcpTransport};
pub use turns::{BeginOutcome, BeginTurn, EndOutcome, EndTurn};
