//! Instances that replicate each other's event logs: the loss of a machine with its disk loses no accepted event.

mod calls_in_flight;
mod machine_losses;
mod peer_links;
mod state_directories;

use std::time::Duration;

use plankhill_process_tests::TargetBehavior;

pub const IMMEDIATE: TargetBehavior = TargetBehavior::Respond(Duration::ZERO);
