//! Counts of open or in-flight resources, kept by guards: a resource is counted until its guard is
//! dropped.

use std::cell::Cell;
use std::rc::Rc;

/// Counts one resource until the guard is dropped.
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Counts one more resource; `None` if `max` are counted already.
    pub fn try_new(count: &Rc<Cell<usize>>, max: usize) -> Option<Self> {
        if count.get() >= max {
            return None;
        }
        count.set(count.get() + 1);
        Some(CountGuard(count.clone()))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
