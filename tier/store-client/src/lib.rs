//! How a proxy calls the stores.
//!
//! A call goes to one store, in the proxy's own zone first, and to another one if that one fails or is
//! slow (a hedged request). Repeating a call is harmless, so that every failure moves on to the next
//! store. Proxies (`plankhill-proxy`) own one [`StoreClient`] each and give it the views of the stores as
//! the control plane sends them.

mod client;
mod in_flight;
mod selector;
mod transport;
mod turns;

pub use client::StoreClient;
pub use selector::StoreSelector;
pub use transport::{StoreTransport, TcpTransport};
pub use turns::{BeginOutcome, BeginTurn, EndOutcome, EndTurn};
