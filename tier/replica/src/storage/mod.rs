//! The storage of a member: a database in a folder, and the thread that writes to the database.

mod database;
mod error;
mod fjall;
mod folder;
mod row_codec;
mod writer;

pub use self::fjall::FjallStorage;
pub use error::StorageError;
pub use folder::{open_folder, OpenedFolder};
pub use row_codec::RowError;
pub use writer::{start_writer, DiskReport, DiskWriter, WriteBatch, WriterStopped};
