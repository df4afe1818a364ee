//! Storages of a member, and the thread that writes to one.

mod fjall;
mod folder;
mod memory;
mod writer;

pub use self::fjall::{FjallStorage, StorageError};
pub use folder::{open_folder, OpenedFolder};
pub use memory::MemoryStorage;
pub use writer::{start_writer, Batch, Written};
