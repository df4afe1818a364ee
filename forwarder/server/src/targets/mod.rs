//! Connections and calls to targets. A target with a connection or a call in flight has an actor.
//!
//! `event_loop` decides which commands a target gets and reaches its actor through
//! [`TargetTable`](crate::target_table). The actor ([`actor`]) owns the idle connections and passes
//! one to each call ([`call`]), which returns it.

mod actor;
mod call;
mod response;
mod write;

use std::cell::Cell;
use std::rc::Rc;

use async_channel::Sender;
use plankhill_forwarder_config::ForwarderConfig;

pub use self::actor::run;
use crate::context::ServerContext;
use crate::messages::Input;

/// State that the actors of all targets share with each other and with their calls.
#[derive(Clone)]
pub struct TargetContext {
    pub server: ServerContext,
    pub to_event_loop: Sender<Input>,
    /// Number of idle connections to all targets.
    pub idle_connections: Rc<Cell<usize>>,
}

/// Maximum number of idle connections to all targets together.
pub fn max_idle_connections(config: &ForwarderConfig) -> usize {
    config.max_sockets / 8
}
