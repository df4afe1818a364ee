//! The lock of the state folder. A process that has a descriptor of the lock file holds the lock: it can be passed to
//! another process without a moment in which nobody holds it, and it ends with the last descriptor.

use std::fs::OpenOptions;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::Path;

use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;

/// Name of the lock file in the state folder.
const FILE: &str = "lock";

/// The lock, held until the last descriptor of it is closed.
#[derive(Debug)]
pub struct StateLock(OwnedFd);

impl StateLock {
    /// Takes the lock of the folder; none if another process holds it.
    ///
    /// # Errors
    /// The file cannot be opened or locked.
    pub fn try_acquire(folder: &Path) -> io::Result<Option<StateLock>> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(FILE))?;
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Some(StateLock(file.into()))),
            Err(Errno::WOULDBLOCK) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// The lock that another process holds and has passed on.
    pub fn from_descriptor(descriptor: OwnedFd) -> StateLock {
        StateLock(descriptor)
    }

    /// A descriptor for the process that is to hold the lock too.
    ///
    /// # Errors
    /// No descriptor is free.
    pub fn try_clone_descriptor(&self) -> io::Result<OwnedFd> {
        self.0.as_fd().try_clone_to_owned()
    }
}
