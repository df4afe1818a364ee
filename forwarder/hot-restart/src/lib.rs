//! Hot restart: a running forwarder process (the predecessor) hands over to a new one (the
//! successor). At no moment do both of them make decisions; neither does while the predecessor is
//! paused. If the handover fails, the predecessor resumes, or the successor starts from the state
//! folder.
//!
//! - [`handshake`] determines the next action of each process, without I/O.
//! - [`messages`] defines the messages between them; `tests/wire_format.rs` pins their bytes.
//! - [`channel`] sends messages and file descriptors over a Unix socket.
//! - [`state_lock`] is the lock of the state folder, held by the process that decides and, after a
//!   handover, by the predecessor until it ends.
//!
//! Called by `forwarder/server` (`hot_restart`). The procedure is described in `docs/operations.md`.

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
