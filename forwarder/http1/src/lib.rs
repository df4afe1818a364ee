//! HTTP/1.1 messages in memory: heads are found and read as bytes come in, bodies by their stated length or
//! in chunks. Strict where laxness lets two readers disagree on where a message ends. Does no I/O.

mod chunks;
mod head;
mod write;

pub use chunks::Chunks;
pub use head::{empty_lines, may_begin, Body, HeadSearch, Malformed, RequestHead, ResponseHead};
pub use write::{request, response};
