//! Messages between the processes of the serving tier, and the connections that carry them.
//!
//! Every message inside the tier is encoded with `postcard` and sent over TCP in length-prefixed
//! frames. The message types are separate from the transport, so that packages without I/O can use
//! the types alone.
//!
//! - [`ids`], [`tables`], [`document`]: the data that the control plane publishes at each revision.
//! - [`feed`], [`feed_position`]: the messages of subscriptions, and the computation of updates for
//!   a subscriber.
//! - [`subscription`]: the client side of a subscription, with its task.
//! - [`store_calls`]: calls of a proxy to a store.
//! - [`transport`]: frames, connections, request-response calls.
//!
//! The wire format depends on the order of variants and fields, because `postcard` writes no names;
//! `tests/wire_format.rs` pins the format.

pub mod appended_field;
pub mod document;
pub mod feed;
pub mod feed_position;
pub mod ids;
pub mod shared_bytes;
pub mod store_calls;
pub mod subscription;
pub mod tables;
pub mod transport;
