//! The one error of this package.

/// A message that can't be read. The text says what about the message is wrong; it goes into the log and into the
/// answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);
