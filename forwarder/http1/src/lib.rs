//! HTTP/1.1 messages in memory (RFC 9112): heads are found and read as bytes come in, bodies by their stated length or
//! in chunks. Strict where laxness lets two readers disagree on where a message ends. Does no I/O.
//!
//! The forwarder's server owns the sockets and buffers; its client connections read requests and write responses with
//! this package, its calls to targets the other way round.
//!
//! | module | job |
//! | --- | --- |
//! | `head_search` | where a head ends, and whether bytes may begin a request |
//! | `request_head`, `response_head` | heads |
//! | `fields` | their fields, and how long the body is |
//! | `chunks` | bodies in chunks |
//! | `write` | heads to be sent |

mod chunks;
mod error;
mod fields;
mod head_search;
mod request_head;
mod response_head;
mod write;

pub use chunks::Chunks;
pub use error::Malformed;
pub use fields::{Body, Fields};
pub use head_search::{empty_lines, may_begin, HeadSearch};
pub use request_head::RequestHead;
pub use response_head::ResponseHead;
pub use write::{request, response};
