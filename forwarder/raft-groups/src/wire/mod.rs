//! What instances send to each other: frames of a length, a checksum and a body in postcard's form.
//!
//! The bodies are this package's own mirrors of raft's messages. Raft's protobuf form is never decoded from a peer:
//! the parser that it comes with recurses without a bound.
//!
//! | module | holds |
//! | --- | --- |
//! | `frame` | the frame around each body |
//! | `message` | the bodies |
//! | `raft_message` | raft's messages and entries as they stand in bodies and in the groups' logs |

pub mod frame;
pub mod message;
pub mod raft_message;
