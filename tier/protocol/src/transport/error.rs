//! Errors of connections and listening sockets.

use std::io;
use std::net::SocketAddr;

use super::decode::DecodeError;
use super::{DIAL_TIMEOUT, MAX_FRAME_BYTES, PROTOCOL_VERSION};

/// An error of a connection, after which the connection cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The operating system reported an error, or the peer closed the connection.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The length of a frame, in bytes, is greater than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    FrameTooLong(usize),
    /// A message cannot be encoded.
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] postcard::Error),
    /// The bytes of a frame are not a valid message of the expected type.
    #[error(transparent)]
    Message(#[from] DecodeError),
    /// The peer uses this protocol version instead of [`PROTOCOL_VERSION`].
    #[error("peer uses protocol version {0} instead of {PROTOCOL_VERSION}")]
    Version(u32),
    /// The connection was not established within [`DIAL_TIMEOUT`].
    #[error("no connection within {} ms", DIAL_TIMEOUT.as_millis())]
    DialTimeout,
}

/// A listening socket cannot be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen at {address}: {source}")]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: io::Error,
}
