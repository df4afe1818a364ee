//! The datagrams between agents, encoded by `postcard`. The names of the messages are those of SWIM
//! (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002, section 3.1).

use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

/// One datagram between agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Asks the receiver for an [`Datagram::Ack`].
    Probe {
        /// The sender's number of this probe; comes back with the answer.
        sequence: u64,
        /// The machine that is probed. A machine that has its address now but another name does not
        /// answer.
        to: NodeId,
    },
    /// Asks the receiver to probe another machine and to pass its answer on (`ping-req`).
    ProbeRequest {
        /// The sender's number of this probe; comes back with the answer.
        sequence: u64,
        /// The machine that is probed.
        about: NodeId,
    },
    /// Says that the probed machine is alive.
    Ack {
        /// The number of the probe that this answers.
        sequence: u64,
    },
}
