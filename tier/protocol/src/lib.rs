//! Messages between the processes of the serving tier, and the connections that carry them.
//!
//! Everything inside the tier is `postcard` in length-prefixed frames over TCP. Message types stand apart
//! from the transport, so that the packages without I/O can use the former alone.

pub mod document;
pub mod feed;
pub mod feed_position;
pub mod ids;
pub mod ports;
pub mod shared_bytes;
pub mod store_calls;
pub mod subscription;
pub mod tables;
pub mod transport;
