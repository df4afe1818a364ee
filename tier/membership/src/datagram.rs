//! The datagrams between agents, encoded by `postcard`. The names of the messages are those of SWIM
//! (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002, section 3.1).

use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

/// One datagram between agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Requests a [`Datagram::Ack`] from the receiver.
    Probe {
        /// The sender's sequence number of this probe; returned in the answer.
        sequence: u64,
        /// The probed machine. A machine that now has the same address but another name does not
        /// answer.
        to: NodeId,
    },
    /// Requests the receiver to probe another machine and to forward the answer (`ping-req`).
    ProbeRequest {
        /// The sender's sequence number of this probe; returned in the answer.
        sequence: u64,
        /// The machine to be probed.
        about: NodeId,
    },
    /// Confirms that the probed machine is alive.
    Ack {
        /// The sequence number of the acknowledged probe.
        sequence: u64,
    },
}
