//! A write that shows whether a folder takes bytes.
//!
//! A database whose write has failed has to be closed and opened anew before it can be written again,
//! and opening makes files. Its owner therefore checks the folder first: until the check succeeds the
//! database stays open, and can be read.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The file that the check writes, and removes at once. The name is part of the state folder's form.
const CHECK_FILE: &str = "room-probe";
/// Size of that file in bytes: several of the batches that a process writes together.
const CHECK_BYTES: usize = 256 * 1024;

/// Writes 256 KiB to a file of its own in `folder`, syncs the file and removes it.
///
/// # Errors
/// The operating system's error where the file cannot be written, synced or removed; of a full disk
/// [`io::ErrorKind::StorageFull`].
pub fn check_free_space(folder: &Path) -> io::Result<()> {
    let path = folder.join(CHECK_FILE);
    let written = write_check_file(&path);
    // The file is removed also after a failed write; the first error is the one that is reported.
    let removed = fs::remove_file(&path);
    written.and(removed)
}

fn write_check_file(path: &Path) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(&vec![0; CHECK_BYTES])?;
    file.sync_data()
}
