//! The datagrams of monitoring.

use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

/// One datagram between agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Asks for an answer.
    Probe {
        /// Comes back with the answer; the asker's own count.
        sequence: u64,
        /// Who is meant; a machine that has the address now but another name stays silent.
        to: NodeId,
    },
    /// Asks for a probe of another machine, whose answer is to be passed on.
    Relay {
        /// Comes back with the answer; the asker's own count.
        sequence: u64,
        /// Who is to be probed.
        about: NodeId,
    },
    /// Says that the probed machine is alive.
    Alive {
        /// As in the question.
        sequence: u64,
    },
}
