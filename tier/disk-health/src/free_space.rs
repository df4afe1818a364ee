//! A test write that checks whether a folder accepts writes.
//!
//! After a failed write a database must be closed and reopened before it accepts writes again, and
//! opening it creates files. Its owner therefore checks the folder first: until the check succeeds, the
//! database stays open and readable.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The file that the check writes and then removes. The name is part of the state folder's format.
const CHECK_FILE: &str = "room-probe";
/// Size of the check file in bytes: as large as several of the write batches of a process.
const CHECK_BYTES: usize = 256 * 1024;

/// Writes a file of 256 KiB in `folder`, syncs it and removes it.
///
/// # Errors
/// The operating system's error if the file cannot be written, synced or removed; its kind is
/// [`io::ErrorKind::StorageFull`] if the disk is full.
pub fn check_free_space(folder: &Path) -> io::Result<()> {
    let path = folder.join(CHECK_FILE);
    let written = write_check_file(&path);
    // The file is removed even after a failed write; the first error is returned.
    let removed = fs::remove_file(&path);
    written.and(removed)
}

fn write_check_file(path: &Path) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(&vec![0; CHECK_BYTES])?;
    file.sync_data()
}
