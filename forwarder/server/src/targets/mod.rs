//! Targets: one actor for each that has a connection or a call in flight.
//!
//! `event_loop` decides what goes to a target and reaches its actor through [`TargetTable`](crate::target_table). The
//! actor ([`actor`]) owns the connections, lends one to each call ([`call`]) and takes it back.

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

/// What the actors of all targets share, with their calls.
#[derive(Clone)]
pub struct TargetContext {
    pub server: ServerContext,
    pub to_event_loop: Sender<Input>,
    /// Idle connections at all targets.
    pub idle_connections: Rc<Cell<usize>>,
}

/// Idle connections at all targets together, at most.
pub fn max_idle_connections(config: &ForwarderConfig) -> usize {
    config.max_sockets / 8
}
