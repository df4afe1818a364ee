//! Bounds what requests and answers hold in memory, all together.

use std::cell::Cell;
use std::rc::Rc;

/// No more memory may be used now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too much memory is in use")]
pub struct OutOfMemory;

/// Memory for bodies.
#[derive(Debug)]
pub struct Memory {
    left: Cell<usize>,
}

impl Memory {
    /// So many bytes altogether.
    pub fn new(bytes: usize) -> Self {
        Memory {
            left: Cell::new(bytes),
        }
    }

    /// A portion of nothing yet.
    pub fn portion(self: &Rc<Self>) -> Portion {
        Portion {
            memory: self.clone(),
            bytes: 0,
        }
    }

    /// Bytes that are not in use.
    pub fn left(&self) -> usize {
        self.left.get()
    }
}

/// What one request holds; given back when dropped.
#[derive(Debug)]
pub struct Portion {
    memory: Rc<Memory>,
    bytes: usize,
}

impl Portion {
    /// Takes more.
    ///
    /// # Errors
    /// If there is not so much left; nothing is taken then.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let left = self
            .memory
            .left
            .get()
            .checked_sub(bytes)
            .ok_or(OutOfMemory)?;
        self.memory.left.set(left);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Portion {
    fn drop(&mut self) {
        self.memory.left.set(self.memory.left.get() + self.bytes);
    }
}
