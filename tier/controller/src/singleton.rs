//! The singleton role: the tasks that only the head of the chain does.
//!
//! [`SingletonScheduler`] decides without I/O which tasks are due; the runner proposes them. Each
//! task carries the number of the head's view as its fencing token, and the control state rejects
//! those of older views.

mod first_seen;
mod runner;
mod scheduler;

pub use runner::run_singleton_tasks;
pub use scheduler::{ScheduleInput, SingletonScheduler};
