//! Serves the subscriptions of agents and stores. Each subscriber is sent changes to the tables,
//! and periodic heartbeats. Subscribing registers the machine in the control state.

mod registrar;
mod registration;
mod session;
mod update_stream;

pub use registration::{needs_registration, other_incarnations};
pub use session::serve_subscriber;
