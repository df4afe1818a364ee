//! What instances say to each other: frames of a length, a checksum and a body. The bodies are our own mirrors
//! of raft's messages in postcard's form; raft's protobuf form is never decoded from a peer, since the parser
//! it comes with recurses without a bound.

pub mod frame;
pub mod mirror;
pub mod said;
