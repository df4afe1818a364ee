//! Hot restart: a running forwarder (the predecessor) hands over to a new process of it (the successor) without a
//! moment in which both or neither decide.
//!
//! - [`handshake`] decides, without I/O, what each of the two does next.
//! - [`messages`] is what they send each other; the bytes are pinned by `tests/wire_format.rs`.
//! - [`channel`] carries messages over a Unix socket, with descriptors.
//! - [`state_lock`] is the lock of the state folder, held by the process that decides.
//!
//! Called by `forwarder/server` (`hot_restart`). The whole way is in `docs/operations.md`.

pub mod channel;
pub mod handshake;
pub mod messages;
pub mod state_lock;

pub use channel::{bind, connect, MessageReceiver, MessageSender};
pub use handshake::{Action, Predecessor, Signal, Successor};
pub use messages::{
    EventHeader, Message, PositionNames, ProcessState, SubmitResponse, SubmittedEvent,
    PROTOCOL_VERSION,
};
pub use state_lock::StateLock;
