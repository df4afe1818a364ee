//! Names and numbers that identify entities in several packages.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The name of a machine of the tier (`node_id` in its settings).
    NodeId
}
name_type! {
    /// The name of a zone of the deployment.
    ZoneName
}
name_type! {
    /// The name of a service in the operator's configuration.
    ServiceName
}
name_type! {
    /// The id of one run of a target process; a restarted target has another id.
    InstanceId
}
name_type! {
    /// The id of a program, from the `Program` header.
    ProgramId
}
name_type! {
    /// The id of a client's attempt, from the `Request-Id` header; also identifies a turn.
    RequestId
}

/// The incarnation of a machine's disk: generated at random when the state directory is empty, and
/// retained afterwards. A process without a disk generates an incarnation at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Position in the total order of committed operations; 0 before the first operation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Epoch of a view of the stores; a view replaces all views with lower epochs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEpoch(pub u64);
