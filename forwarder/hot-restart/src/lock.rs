//! The lock of the state folder. Whoever holds a descriptor of it holds it: it can be passed to another
//! process without a moment in which nobody has it, and it ends with the last of them.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::Path;

use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;

const FILE: &str = "lock";

#[derive(Debug)]
pub struct Lock(OwnedFd);

impl Lock {
    /// None if another process holds it.
    pub fn take(folder: &Path) -> io::Result<Option<Lock>> {
        let file: File = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(FILE))?;
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Some(Lock(file.into()))),
            Err(Errno::WOULDBLOCK) => Ok(None),
            Err(e) => Err(e.into()),
        }
    }

    /// It was passed on.
    pub fn passed(descriptor: OwnedFd) -> Lock {
        Lock(descriptor)
    }

    /// For the process that is to hold it too.
    pub fn share(&self) -> io::Result<OwnedFd> {
        self.0.as_fd().try_clone_to_owned()
    }
}
