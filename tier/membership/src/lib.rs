//! Rendezvous hashing, monitored peers and homes of services, without I/O.

pub mod homes;
pub mod monitor;
pub mod peers;
pub mod probe;
pub mod relays;
pub mod rendezvous;
