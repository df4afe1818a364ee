//! What the tasks of the process share. Assembled once by [`crate::run()`].

use std::rc::Rc;

use crate::admission::Admission;
use crate::clock::Clock;
use crate::lifecycle::Lifecycle;
use crate::memory_budget::MemoryBudget;
use crate::snapshot::SnapshotCell;
use crate::target_client::TargetClient;
use crate::turn_store::TurnStore;

/// The process as its tasks see it.
pub struct Proxy {
    /// The clock of all deadlines.
    pub clock: Clock,
    /// The tables in force.
    pub snapshots: SnapshotCell,
    /// The dispatcher.
    pub admission: Rc<Admission>,
    /// Connections to targets.
    pub target_client: TargetClient,
    /// Turns of conversations, and budgets.
    pub turns: Rc<dyn TurnStore>,
    /// Memory for bodies.
    pub memory: Rc<MemoryBudget>,
    /// The phase of the process.
    pub lifecycle: Rc<Lifecycle>,
}
