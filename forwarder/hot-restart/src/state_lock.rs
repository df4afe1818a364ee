//! The lock of the state folder. Every process that has a descriptor of the lock file holds the
//! lock, so that the lock can be passed to another process without being free in between. The lock
//! is released when its last descriptor is closed.

use std::fs::OpenOptions;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::Path;

use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;

/// Name of the lock file in the state folder.
const LOCK_FILE_NAME: &str = "lock";

/// The lock, held until the last descriptor of it is closed.
#[derive(Debug)]
pub struct StateLock(OwnedFd);

impl StateLock {
    /// Acquires the lock of the folder; `None` if another process holds it.
    ///
    /// # Errors
    /// The file cannot be opened or locked.
    pub fn try_acquire(folder: &Path) -> io::Result<Option<StateLock>> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK_FILE_NAME))?;
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Some(StateLock(file.into()))),
            Err(Errno::WOULDBLOCK) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// The lock whose descriptor another process has passed on.
    pub fn from_descriptor(descriptor: OwnedFd) -> StateLock {
        StateLock(descriptor)
    }

    /// A duplicate descriptor for another process, which then holds the lock too.
    ///
    /// # Errors
    /// No file descriptor is available.
    pub fn try_clone_descriptor(&self) -> io::Result<OwnedFd> {
        self.0.as_fd().try_clone_to_owned()
    }
}
