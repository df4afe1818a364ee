//! What an instance has promised, on its disk: synced before it is acknowledged.

pub mod folder;
pub mod log;
pub mod thread;
