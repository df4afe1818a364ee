//! A storage without a disk, for tests.

use std::convert::Infallible;

use plankhill_chain::{Durable, Storage, Write};

/// Keeps everything in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    held: Durable,
}

impl Storage for MemoryStorage {
    type Error = Infallible;

    fn load(&mut self) -> Result<Durable, Infallible> {
        Ok(self.held.clone())
    }

    fn write(&mut self, changes: &[Write]) -> Result<(), Infallible> {
        changes.iter().for_each(|change| self.held.apply(change));
        Ok(())
    }

    fn recover(&mut self) -> Result<(), Infallible> {
        Ok(())
    }

    fn may_pass(error: &Infallible) -> bool {
        match *error {}
    }
}
