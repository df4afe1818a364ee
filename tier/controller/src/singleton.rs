//! Singleton tasks, which only the head of the chain runs.
//!
//! [`SingletonScheduler`] determines without I/O which tasks are due; the runner proposes them.
//! Each task carries the number of the head's view as its fencing token, and the control state
//! rejects tasks of older views. A controller whose task was rejected proposes no more tasks until
//! it is the head of a later view ([`Fence`]).

mod fence;
mod first_seen;
mod runner;
mod scheduler;

pub use fence::Fence;
pub use runner::run_singleton_tasks;
pub use scheduler::{ScheduleInput, SingletonScheduler};
