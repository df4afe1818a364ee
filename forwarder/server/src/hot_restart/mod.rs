//! Hot restart: this process hands over to a successor ([`predecessor`]), or takes over from a predecessor
//! ([`successor`]). [`transfer`] carries messages and connections between the two, [`relay`] takes the event loop's
//! place in a process that has handed over. What each side does next is decided in `plankhill_hot_restart::handshake`.

pub mod predecessor;
pub mod relay;
pub mod successor;
pub mod transfer;
