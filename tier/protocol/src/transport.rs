//! Connections inside the tier. Each side sends one [`Hello`], then `postcard` messages in frames
//! with a 4-byte little-endian length prefix. A connection fails if the peer does not acknowledge
//! sent bytes within [`USER_TIMEOUT`].
//!
//! - `frame`: the reader and the writer of frames, one for each half of a connection.
//! - `decode`: decodes messages; errors name the invalid field.
//! - `connection`: opens connections, accepts them, exchanges greetings.
//! - `caller`, `server`: concurrent request-response calls over one shared connection.

mod abort_on_drop;
mod call_reply;
mod caller;
mod connect;
mod connection;
mod decode;
mod envelope;
mod error;
mod frame;
mod hello;
mod server;
mod socket;

use std::time::Duration;

pub use call_reply::{CallReply, ReplyGuard};
pub use caller::{CallError, Caller};
pub use connect::connect;
pub use connection::{accept, dial, Connection};
pub use decode::{decode, DecodeError};
pub use error::{ListenError, TransportError};
pub use frame::{FrameReader, FrameWriter};
pub use hello::{Channel, Hello};
pub use server::serve_calls;
pub use socket::{listen, set_socket_options};

/// Version of the wire format of this package. Connections to peers with another version are
/// rejected when the greetings are exchanged.
pub const PROTOCOL_VERSION: u32 = 2;
/// Time after which unacknowledged bytes cause a connection to fail; well below the contact bound
/// of deployments (`contact_ms` in the settings, 3 s).
pub const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for opening a connection and exchanging the greetings.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a frame, in bytes without the length prefix: enough for a snapshot with a large
/// configuration, with a margin for growth.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
