//! Subscriptions of agents and stores: each gets the tables at once as they change, and a heartbeat when
//! nothing changes. Subscribing registers the machine.

mod registration;
mod session;
mod subscribers;

pub use registration::{other_lives, registration_of, should_register};
pub use session::serve_subscriber;
pub use subscribers::{SubscriberStatus, Subscribers};
