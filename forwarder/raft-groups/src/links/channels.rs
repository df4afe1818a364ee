//! What the links' thread and the groups' thread send to each other.

use crate::wire::message::{Hello, HelloReply, PeerMessage};

/// The position of an instance in the fleet file.
pub type PeerIndex = usize;

/// To the links' thread.
pub enum ToLinks {
    /// What this instance sends first on each link; none is made before.
    SetHello(Hello),
    /// Sends a whole frame.
    Send {
        /// To whom.
        to: PeerIndex,
        /// Encoded.
        frame: Vec<u8>,
    },
    /// Replies to a caller's hello.
    Reply {
        /// The caller's connection.
        call: u64,
        /// Whether the caller is heard.
        reply: HelloReply,
    },
    /// Closes the link to a peer that is not who it should be, or brings nothing.
    HangUp {
        /// The peer.
        peer: PeerIndex,
    },
}

/// From the links' thread.
#[derive(Debug)]
pub enum FromLinks {
    /// A peer has connected, and waits for [`ToLinks::Reply`].
    Called {
        /// Its connection, numbered from 1.
        call: u64,
        /// The peer.
        peer: PeerIndex,
        /// What it sent first.
        hello: Hello,
    },
    /// A peer has replied to this instance's hello.
    Replied {
        /// The peer.
        peer: PeerIndex,
        /// Its reply.
        reply: HelloReply,
    },
    /// A message from a caller that was welcomed.
    Received {
        /// Its connection.
        call: u64,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// The link to a peer that had replied broke.
    LinkLost {
        /// The peer.
        peer: PeerIndex,
    },
    /// A caller has gone.
    CallEnded {
        /// Its connection.
        call: u64,
    },
}
