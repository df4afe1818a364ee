//! Assigns responsibilities between machines: every process derives the same assignment from the
//! same list of members. The crate does no I/O: callers pass in the current time and send the
//! returned messages.
//!
//! - [`rendezvous`]: selects members for a key.
//! - [`homes`]: selects the edge that sends updates to the other edges of its zone.
//! - [`peers`], [`failure_detector`], [`indirect_probes`], [`datagram`]: select the peers that an
//!   agent probes and detect their failures.

pub mod datagram;
pub mod failure_detector;
pub mod homes;
pub mod indirect_probes;
pub mod peers;
pub mod rendezvous;
