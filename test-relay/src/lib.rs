//! Network fault injection for tests of several processes on one machine.
//!
//! A process connects to a relay instead of another process. The relay forwards the bytes in both
//! directions, and can delay, truncate or stall them. [`Relay`] has one link for all its connections;
//! [`SharedRelay`] listens at a given address and has a link for each sender, so that two processes
//! can be partitioned while both still reach the others. [`LoopbackNetwork`] reserves loopback
//! addresses for a test process.

mod link;
mod listener;
mod network;
mod relay;
mod shared_relay;

pub use link::{Delivery, Direction, Link};
pub use listener::ThreadedListener;
pub use network::LoopbackNetwork;
pub use relay::Relay;
pub use shared_relay::SharedRelay;
