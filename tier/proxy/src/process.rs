//! What the tasks of the process share.

use std::rc::Rc;

use crate::admission::Admission;
use crate::clock::Clock;
use crate::exchange::Targets;
use crate::life::Life;
use crate::memory::Memory;
use crate::snapshot::SnapshotCell;
use crate::turn_store::TurnStore;

/// The process as its tasks see it.
pub struct Proxy {
    /// The clock of all deadlines.
    pub clock: Clock,
    /// The tables.
    pub snapshots: SnapshotCell,
    /// The dispatcher.
    pub admission: Rc<Admission>,
    /// Connections to targets.
    pub targets: Targets,
    /// Turns and budgets.
    pub turns: Rc<dyn TurnStore>,
    /// Memory for bodies.
    pub memory: Rc<Memory>,
    /// Where the process stands in its life.
    pub life: Rc<Life>,
}
