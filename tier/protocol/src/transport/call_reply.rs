//! The reply to a call, with what its sender holds until it has been written.

use std::any::Any;
use std::fmt;

/// A reply to a call.
#[derive(Debug)]
pub struct CallReply<Reply> {
    /// The reply that is sent.
    pub body: Reply,
    /// Dropped once the reply has been passed to the operating system, or the connection has ended.
    pub guard: Option<ReplyGuard>,
}

impl<Reply> From<Reply> for CallReply<Reply> {
    fn from(body: Reply) -> Self {
        CallReply { body, guard: None }
    }
}

/// A resource that a reply uses, such as a reservation of memory; released when dropped.
pub struct ReplyGuard(#[allow(dead_code, reason = "held for its drop")] Box<dyn Any>);

impl ReplyGuard {
    /// Creates a guard that holds `resource`.
    pub fn new(resource: impl Any) -> Self {
        ReplyGuard(Box::new(resource))
    }
}

impl fmt::Debug for ReplyGuard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ReplyGuard")
    }
}
