//! Which machine does what for which other one, decided alike by every process from the same list
//! of members. Without I/O: time is passed in, and the callers send what these modules return.
//!
//! - [`rendezvous`]: picks members for a key.
//! - [`homes`]: which edge of a zone sends the others their updates.
//! - [`peers`], [`failure_detector`], [`indirect_probes`], [`datagram`]: which peers an agent
//!   probes, and how it finds that one of them has failed.

pub mod datagram;
pub mod failure_detector;
pub mod homes;
pub mod indirect_probes;
pub mod peers;
pub mod rendezvous;
