//! Hot restart: this process hands over to a successor ([`predecessor`]), or takes over from a
//! predecessor ([`successor`]). [`transfer`] sends messages and connections between the two, and
//! [`relay`] replaces the event loop in a process that has handed over. The state machines of both
//! sides are in `plankhill_hot_restart::handshake`.

pub mod predecessor;
pub mod relay;
pub mod successor;
pub mod transfer;
