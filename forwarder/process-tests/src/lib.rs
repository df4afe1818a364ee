//! Tests of several processes of the forwarder, with a relay on every link that can inject faults. What clients,
//! targets and discovery observe is recorded in one [`Trace`] with one clock, and `plankhill-invariants` checks it.
//! A test injects faults, waits for the expected outcome, and checks the invariants; it never waits for a fixed time.

mod broadcasts;
mod check_invariants;
mod clients;
mod cluster;
mod discovery;
mod fault_injector;
mod http;
mod load;
mod options;
mod process;
mod program;
mod replication;
mod reserved_address;
mod target;
mod trace;

pub use broadcasts::CopyOutcome;
pub use check_invariants::find_violations;
pub use clients::{Answer, EventRequest};
pub use cluster::{Cluster, Instance};
pub use discovery::Discovery;
pub use fault_injector::{Fault, FaultInjector, LinkSet};
pub use load::Load;
pub use options::ClusterOptions;
pub use plankhill_test_relay::{Delivery, Direction, Relay};
pub use process::{Predecessor, Process};
pub use reserved_address::ReservedAddress;
pub use target::{Target, TargetBehavior};
pub use trace::{Idempotency, Trace, TraceRecord};

use std::time::{Duration, Instant};

/// Timeout of every wait for an expected condition: longer than the deadline of the clients' events.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(75);

/// Waits until `holds` returns `true`, or fails the test; `what` describes the condition.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let by = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < by, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
