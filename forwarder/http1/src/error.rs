//! The error type of this package.

/// A message that can't be parsed. The text names the fault of the message, and is written to the log and to the
/// response to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);
