//! Disks that take no writes for a while, as a full one does: how long to wait between two attempts, and how to find out
//! whether the next one may succeed.
//!
//! A database whose write has failed has to be closed and opened anew before it can be used. That takes files of its own, so
//! that it is tried only once the folder takes some bytes again: until then the database can still be read.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;

/// The file that is written to find out whether there is room; removed at once.
const PROBE: &str = "room-probe";
/// Its size in bytes: several of the batches that a process writes together.
const PROBE_BYTES: usize = 256 * 1024;

/// The first pause. A disk that fails for a moment is back soon.
const SHORTEST: Duration = Duration::from_millis(100);
/// The longest pause: a disk that has room again is used again within that.
const LONGEST: Duration = Duration::from_secs(2);

/// Growing pauses between attempts to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff { next: SHORTEST }
    }
}

impl Backoff {
    /// Backoff that begin with this one.
    pub fn with_initial_delay(first: Duration) -> Self {
        Backoff { next: first }
    }

    /// The pause before the next attempt; twice the one before, up to two seconds.
    pub fn next_delay(&mut self) -> Duration {
        let pause = self.next;
        self.next = LONGEST.min(pause * 2);
        pause
    }
}

/// Writes some bytes to a file of its own in this folder, syncs them and removes the file.
///
/// # Errors
/// The operating system's, where the disk takes no bytes.
pub fn check_free_space(folder: &Path) -> io::Result<()> {
    let path = folder.join(PROBE);
    let written = write_probe(&path);
    match (written, fs::remove_file(&path)) {
        (Err(error), _) => Err(error),
        (Ok(()), removed) => removed,
    }
}

fn write_probe(path: &Path) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(&vec![0; PROBE_BYTES])?;
    file.sync_data()
}
