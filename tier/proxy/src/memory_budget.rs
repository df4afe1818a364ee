//! Limits the total memory used by the bodies of requests and responses.

use std::cell::Cell;
use std::rc::Rc;

/// The memory budget is exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory budget is exhausted")]
pub struct OutOfMemory;

/// The memory budget for bodies.
#[derive(Debug)]
pub struct MemoryBudget {
    free_bytes: Cell<usize>,
}

impl MemoryBudget {
    /// A budget of `bytes` in total.
    pub fn new(bytes: usize) -> Self {
        MemoryBudget {
            free_bytes: Cell::new(bytes),
        }
    }

    /// Creates an empty reservation.
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

/// The memory reserved by one request; released when dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves another `bytes` bytes.
    ///
    /// # Errors
    /// [`OutOfMemory`] if fewer are free; the reservation is then unchanged.
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
