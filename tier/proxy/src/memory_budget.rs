//! Bounds the memory that the bodies of requests and answers take up, all together.

use std::cell::Cell;
use std::rc::Rc;

/// The memory budget is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too much memory is in use")]
pub struct OutOfMemory;

/// Memory for bodies.
#[derive(Debug)]
pub struct MemoryBudget {
    free_bytes: Cell<usize>,
}

impl MemoryBudget {
    /// A budget of `bytes` altogether.
    pub fn new(bytes: usize) -> Self {
        MemoryBudget {
            free_bytes: Cell::new(bytes),
        }
    }

    /// A reservation of nothing yet.
    pub fn reservation(self: &Rc<Self>) -> MemoryReservation {
        MemoryReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Bytes that are not reserved.
    pub fn free_bytes(&self) -> usize {
        self.free_bytes.get()
    }
}

/// The memory of one request; given back when dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves `bytes` more.
    ///
    /// # Errors
    /// [`OutOfMemory`] if fewer are free; nothing is reserved then.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let free = self
            .budget
            .free_bytes
            .get()
            .checked_sub(bytes)
            .ok_or(OutOfMemory)?;
        self.budget.free_bytes.set(free);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget
            .free_bytes
            .set(self.budget.free_bytes.get() + self.bytes);
    }
}
