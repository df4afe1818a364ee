//! HTTP/1.1 messages in memory (RFC 9112): heads are found and parsed as bytes arrive, bodies are delimited by their
//! Content-Length or the chunked transfer coding. Parsing is strict wherever leniency would let two parsers disagree on
//! the end of a message. This package does no I/O.
//!
//! The forwarder's server owns the sockets and buffers. Its client connections read requests and write responses with
//! this package; its calls to targets write requests and read responses.
//!
//! | module | contents |
//! | --- | --- |
//! | `head_search` | search for the end of a head, and checks of the first bytes of a request |
//! | `request_head`, `response_head` | heads |
//! | `fields` | header fields, and the length of the body |
//! | `chunks` | chunked bodies |
//! | `write` | writing of heads |

mod chunks;
mod error;
mod fields;
mod head_search;
mod request_head;
mod response_head;
mod write;

pub use chunks::ChunkedDecoder;
pub use error::Malformed;
pub use fields::{Body, Fields};
pub use head_search::{leading_empty_line_bytes, may_be_request, HeadSearch};
pub use request_head::RequestHead;
pub use response_head::ResponseHead;
pub use write::{write_request, write_response};
