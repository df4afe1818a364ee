//! The first message on a connection between members.

use plankhill_chain::Identity;
use serde::{Deserialize, Serialize};

/// Identifies the sender by node and disk incarnation; the greeting of the transport names only the
/// node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Introduction {
    pub(super) identity: Identity,
}
