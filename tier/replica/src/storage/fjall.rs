//! The storage of a member in a `fjall` database, which is closed and reopened after a failed write.

use std::path::{Path, PathBuf};

use plankhill_chain::{DurableState, Storage, Write};
use plankhill_disk_health::check_free_space;
use plankhill_protocol::ids::Incarnation;

use super::database::OpenDatabase;
use super::error::StorageError;

/// The storage of a member in a `fjall` database.
pub struct FjallStorage {
    folder: PathBuf,
    /// The incarnation of the disk, once one has been written. A reopened database must have the
    /// same incarnation.
    incarnation: Option<Incarnation>,
    /// `None` after a failed attempt to reopen the database.
    database: Option<OpenDatabase>,
}

impl FjallStorage {
    /// Opens the database in this folder, or creates one.
    ///
    /// # Errors
    /// [`StorageError`] if an existing database cannot be read, or none can be created.
    pub fn open(folder: &Path) -> Result<Self, StorageError> {
        let database = OpenDatabase::open(folder)?;
        Ok(Self {
            folder: folder.to_path_buf(),
            incarnation: database.incarnation()?,
            database: Some(database),
        })
    }

    fn database(&mut self) -> Result<&mut OpenDatabase, StorageError> {
        self.database.as_mut().ok_or(StorageError::Closed)
    }
}

impl Storage for FjallStorage {
    type Error = StorageError;

    fn load(&mut self) -> Result<DurableState, StorageError> {
        self.database()?.load()
    }

    fn write(&mut self, changes: &[Write]) -> Result<(), StorageError> {
        self.database()?.write(changes)?;
        for change in changes {
            if let Write::Incarnation(incarnation) = change {
                self.incarnation = Some(*incarnation);
            }
        }
        Ok(())
    }

    /// Reopens the database once the folder accepts writes again. Until then the failed database
    /// remains readable.
    fn recover(&mut self) -> Result<(), StorageError> {
        check_free_space(&self.folder)
            .map_err(|error| StorageError::folder(&self.folder, error))?;
        // The folder is locked while a database is open.
        self.database = None;
        let database = OpenDatabase::open(&self.folder)?;
        if database.incarnation()? != self.incarnation {
            return Err(StorageError::Replaced);
        }
        self.database = Some(database);
        Ok(())
    }

    fn is_transient(error: &StorageError) -> bool {
        error.is_transient()
    }
}
