//! Counts of things that are open or in flight, kept by guards: a thing is counted until its guard is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// One of those counted.
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Counts one more; none if there are `max` already.
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
