//! One of so many: what is counted stays counted until it is dropped.

use std::cell::Cell;
use std::rc::Rc;

pub struct Counted(Rc<Cell<usize>>);

impl Counted {
    /// None if there are as many as may be.
    pub fn new(count: &Rc<Cell<usize>>, most: usize) -> Option<Self> {
        let free = count.get() < most;
        free.then(|| {
            count.set(count.get() + 1);
            Counted(count.clone())
        })
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
