//! The messages between instances: frames that consist of a length, a checksum and a body in postcard encoding.
//!
//! The bodies contain this package's own equivalents of raft's messages. Protobuf data from a peer is never decoded,
//! because the protobuf parser that raft uses recurses without a limit.
//!
//! | module | contents |
//! | --- | --- |
//! | `frame` | the frame around each body |
//! | `message` | the bodies |
//! | `raft_message` | raft's messages and entries, as encoded in bodies and in the groups' logs |

pub mod frame;
pub mod message;
pub mod raft_message;
