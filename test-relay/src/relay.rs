//! A relay with a single link.

use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;

use crate::link::Link;
use crate::listener::ThreadedListener;

/// Forwards all its connections over one link.
pub struct Relay {
    link: Arc<Link>,
    listener: ThreadedListener,
}

impl Relay {
    /// Starts a relay to the address `to`.
    pub fn to(to: SocketAddr) -> Self {
        let link = Arc::new(Link::new(to));
        let forwarding_link = Arc::clone(&link);
        let listener =
            ThreadedListener::open(move |stream| Arc::clone(&forwarding_link).forward(stream));
        Self { link, listener }
    }

    /// The address of the relay, used in place of the destination's address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }
}

impl Deref for Relay {
    type Target = Link;

    fn deref(&self) -> &Link {
        &self.link
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.link.close();
    }
}
