//! The messages between the links thread and the groups thread.

use crate::wire::message::{Hello, HelloReply, PeerMessage};

/// The position of an instance in the fleet file.
pub type PeerIndex = usize;

/// A request to the links thread.
pub enum ToLinks {
    /// Sets the hello that this instance sends first on each link; no link is opened before it is set.
    SetHello(Hello),
    /// Sends a complete frame to a peer.
    Send {
        /// The receiving peer.
        to: PeerIndex,
        /// The encoded frame.
        frame: Vec<u8>,
    },
    /// Replies to the hello on an incoming connection.
    Reply {
        /// The incoming connection.
        connection: u64,
        /// The reply, which accepts or rejects the peer.
        reply: HelloReply,
    },
    /// Closes the link to a peer that is not the expected instance or sends nothing.
    CloseLink {
        /// The peer.
        peer: PeerIndex,
    },
}

/// An event from the links thread.
#[derive(Debug)]
pub enum FromLinks {
    /// A peer has connected and sent its hello; the connection awaits [`ToLinks::Reply`].
    HelloReceived {
        /// The incoming connection, numbered from 1.
        connection: u64,
        /// The peer.
        peer: PeerIndex,
        /// The hello of the peer.
        hello: Hello,
    },
    /// A peer has replied to this instance's hello.
    ReplyReceived {
        /// The peer.
        peer: PeerIndex,
        /// The reply of the peer.
        reply: HelloReply,
    },
    /// A message has arrived on an accepted incoming connection.
    MessageReceived {
        /// The incoming connection.
        connection: u64,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// The link to a peer was lost after the peer had accepted it.
    LinkLost {
        /// The peer.
        peer: PeerIndex,
    },
    /// An incoming connection has closed.
    ConnectionClosed {
        /// The incoming connection.
        connection: u64,
    },
}
