//! Names and numbers that several packages share.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// The name as text.
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
    /// A machine of the tier, as its settings name it (`node_id`).
    NodeId
}
name_type! {
    /// A zone of the deployment.
    ZoneName
}
name_type! {
    /// A service of the operator's configuration.
    ServiceName
}
name_type! {
    /// One start of a target; a restarted target has another.
    InstanceId
}
name_type! {
    /// A program, as the `Program` header names it.
    ProgramId
}
name_type! {
    /// An attempt of a client, as the `Request-Id` header names it; it also names a turn.
    RequestId
}

/// The incarnation of a machine's disk: drawn at random when the state folder is empty, kept
/// afterwards. A process without a disk draws one at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Position in the total order of committed operations; 0 before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Epoch of a view of the stores; a view replaces all views with lower epochs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEpoch(pub u64);
