//! Messages between the processes of the serving tier, and the connections that carry them.
//!
//! Every message inside the tier is encoded by `postcard` and sent over TCP in frames with a length
//! in front. The message types stand apart from the transport, so that the packages without I/O use
//! the types alone.
//!
//! - [`ids`], [`tables`], [`document`]: what the control plane publishes, at one revision.
//! - [`feed`], [`feed_position`]: the messages of subscriptions, and what a feeder owes a
//!   subscriber.
//! - [`subscription`]: the client side of a subscription, with its task.
//! - [`store_calls`]: what a proxy asks of the stores.
//! - [`transport`]: frames, connections, calls with answers.
//!
//! The order of variants and of fields is the wire format (`postcard` writes no names):
//! `tests/wire_format.rs` pins it.

pub mod document;
pub mod feed;
pub mod feed_position;
pub mod ids;
pub mod shared_bytes;
pub mod store_calls;
pub mod subscription;
pub mod tables;
pub mod transport;
