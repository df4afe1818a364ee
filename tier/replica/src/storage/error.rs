//! Errors of the storage of a member.

use std::io;
use std::path::{Path, PathBuf};

use plankhill_protocol::ids::NodeId;
use thiserror::Error;

use super::row_codec::RowError;

/// An error of the storage.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The database reports an error.
    #[error("database: {0}")]
    Database(#[from] fjall::Error),
    /// A value cannot be encoded or decoded.
    #[error("row {}: {source}", .key.escape_ascii())]
    Row {
        /// The row's key.
        key: Vec<u8>,
        /// The cause.
        source: RowError,
    },
    /// The key of an operation does not encode a revision.
    #[error("row {}: the key does not encode a revision", .0.escape_ascii())]
    EntryKey(Vec<u8>),
    /// The folder cannot be used.
    #[error("folder {}: {source}", .path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The database was closed after a failed write and has not been reopened yet.
    #[error("the database is closed after a failed write")]
    Closed,
    /// The folder belongs to another node: the view on the disk lists its incarnation under that
    /// node.
    #[error("folder {}: holds the data of node {owner}", .path.display())]
    OtherNode {
        /// The folder.
        path: PathBuf,
        /// The node that owns the folder.
        owner: NodeId,
    },
    /// The reopened database has another incarnation than the one that was open before.
    #[error("the disk was replaced by another one")]
    Replaced,
}

impl StorageError {
    pub(super) fn folder(path: &Path, source: io::Error) -> Self {
        Self::Folder {
            path: path.to_path_buf(),
            source,
        }
    }

    pub(super) fn row(key: &[u8], source: RowError) -> Self {
        Self::Row {
            key: key.to_vec(),
            source,
        }
    }

    /// Returns whether a retry may succeed with all data intact: the error does not show that the
    /// data is corrupted.
    pub(crate) fn is_transient(&self) -> bool {
        match self {
            Self::Database(fjall::Error::Io(error))
            | Self::Database(fjall::Error::Storage(fjall::LsmError::Io(error)))
            | Self::Folder { source: error, .. } => !is_corruption(error),
            Self::Database(fjall::Error::Locked | fjall::Error::Poisoned) | Self::Closed => true,
            Self::Database(_)
            | Self::Row { .. }
            | Self::EntryKey(_)
            | Self::OtherNode { .. }
            | Self::Replaced => false,
        }
    }
}

/// Returns whether an I/O error means that the bytes on disk are not those that were written.
fn is_corruption(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData
    )
}
