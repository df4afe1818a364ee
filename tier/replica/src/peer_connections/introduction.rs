//! The first message on a connection between members.

use plankhill_chain::Identity;
use serde::{Deserialize, Serialize};

/// Names the sender's disk; the greeting of the transport names only the machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Introduction {
    pub(super) identity: Identity,
}
