//! The state shared by the tasks of the process. Assembled once by [`crate::run()`].

use std::rc::Rc;

use crate::admission::Admission;
use crate::clock::Clock;
use crate::lifecycle::Lifecycle;
use crate::memory_budget::MemoryBudget;
use crate::snapshot::SnapshotCell;
use crate::target_client::TargetClient;
use crate::turn_store::TurnStore;

/// The shared state of the process.
pub struct Proxy {
    /// The clock on which all deadlines are expressed.
    pub clock: Clock,
    /// The current tables.
    pub snapshots: SnapshotCell,
    /// The dispatcher.
    pub admission: Rc<Admission>,
    /// Connections to targets.
    pub target_client: TargetClient,
    /// Turns of conversations, and budgets.
    pub turns: Rc<dyn TurnStore>,
    /// Memory for bodies.
    pub memory: Rc<MemoryBudget>,
    /// The lifecycle state of the process.
    pub lifecycle: Rc<Lifecycle>,
}
