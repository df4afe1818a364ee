//! Subscriptions of agents and stores: each is sent the tables as they change, and a heartbeat when
//! nothing changes. Subscribing registers the machine in the control state.

mod registrar;
mod registration;
mod session;
mod update_stream;

pub use registration::{needs_registration, other_incarnations};
pub use session::serve_subscriber;
