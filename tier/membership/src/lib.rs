//! Rendezvous hashing, monitored peers and homes of services, without I/O.

pub mod rendezvous;
