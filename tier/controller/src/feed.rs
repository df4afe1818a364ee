//! Serves the subscriptions of agents and stores, as a feeder in the terms of
//! [`plankhill_protocol::feed`]. Each subscriber is sent changes to the tables, which the session
//! takes from the [change log](crate::change_log), and periodic heartbeats. Subscribing registers
//! the machine in the control state.

mod registrar;
mod registration;
mod session;
mod update_stream;

pub use registration::{needs_registration, other_incarnations};
pub use session::serve_subscriber;
