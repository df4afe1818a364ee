//! The file of the event log. Frames are appended; an incomplete frame that a killed process left at the end is
//! truncated when the file is opened again. A file that reaches [`REWRITE_SHARE`] of the disk limit is rewritten without
//! its completed events.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};

use crate::event_table::EventTable;
use crate::pending_event::PendingEvent;

/// First bytes of the file: its format and version.
const FILE_HEADER: &[u8] = b"plankhill ledger 1\n";
const FILE_NAME: &str = "ledger";
/// Name of the new file during a rewrite, until it is renamed over the old one.
const REWRITE_FILE_NAME: &str = "ledger.new";

/// The share of the disk limit that pending events may reserve. During a rewrite the old file, of up to
/// [`REWRITE_SHARE`], and the new one exist at the same time, and both have to fit.
const MAX_RESERVED_SHARE: f64 = 0.4;
/// The share of the disk limit at which the file is rewritten.
const REWRITE_SHARE: f64 = 0.5;

/// Why the event log of a folder can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The file can't be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file of another format has the log's name; it is left unchanged.
    #[error("the file 'ledger' is not a ledger")]
    NotAnEventLog,
}

impl From<OpenError> for io::Error {
    fn from(error: OpenError) -> Self {
        match error {
            OpenError::Io(error) => error,
            OpenError::NotAnEventLog => io::Error::new(io::ErrorKind::InvalidData, error),
        }
    }
}

/// An [`EventTable`] and the file that stores it, owned by the forwarder's event loop. Changes recorded with the
/// table's methods survive the end of the process once [`EventLog::commit`] has returned.
pub struct EventLog {
    folder: PathBuf,
    file: File,
    /// Length in bytes of the header and the complete frames after it.
    file_length: usize,
    max_disk_bytes: usize,
    table: EventTable,
}

impl Deref for EventLog {
    type Target = EventTable;

    fn deref(&self) -> &EventTable {
        &self.table
    }
}

impl DerefMut for EventLog {
    fn deref_mut(&mut self) -> &mut EventTable {
        &mut self.table
    }
}

impl EventLog {
    /// Opens the log in `folder`, or creates an empty one, and returns it with the pending events in the order of
    /// acceptance. The log's files take up to `max_disk_bytes`.
    ///
    /// # Errors
    /// [`OpenError`] if the file can't be read or written, or is not an event log.
    pub fn open(
        folder: &Path,
        max_disk_bytes: u64,
    ) -> Result<(EventLog, Vec<PendingEvent>), OpenError> {
        let path = folder.join(FILE_NAME);
        let bytes = read_if_present(&path)?;
        // A process killed while it writes the header leaves a part of the header.
        if !bytes.starts_with(FILE_HEADER) && !FILE_HEADER.starts_with(&bytes) {
            return Err(OpenError::NotAnEventLog);
        }
        // Left by an interrupted rewrite; usually absent.
        let _ = fs::remove_file(folder.join(REWRITE_FILE_NAME));
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let mut table = EventTable::default();
        let frame_bytes = table.apply_frames(bytes.get(FILE_HEADER.len()..).unwrap_or_default());
        let mut log = EventLog {
            folder: folder.to_owned(),
            file,
            file_length: FILE_HEADER.len() + frame_bytes,
            max_disk_bytes: max_disk_bytes as usize,
            table,
        };
        if bytes.len() < FILE_HEADER.len() {
            log.file.set_len(0)?;
            log.file.write_all(FILE_HEADER)?;
        } else {
            log.file.set_len(log.file_length as u64)?;
        }
        let pending = log.table.pending_events();
        Ok((log, pending))
    }

    /// Whether the log has space for another event, with a body of `body` bytes.
    pub fn has_capacity_for(&self, body: usize) -> bool {
        let reserved = self.table.reserved_bytes() + EventTable::max_growth(body);
        (reserved as f64) < self.max_disk_bytes as f64 * MAX_RESERVED_SHARE
    }

    /// Records a change of owner, before the new owner makes any decision: the previous owner detects the new writer
    /// by [`has_length_changed`], and stops.
    ///
    /// # Errors
    /// As [`EventLog::commit`].
    pub fn change_owner(&mut self) -> io::Result<()> {
        self.table.record_no_op();
        // Never rewrites the file: the predecessor would continue to write to the old file, which has been unlinked.
        self.append()
    }

    /// The length of the file, in bytes.
    pub fn file_length(&self) -> u64 {
        self.file_length as u64
    }

    /// Writes all changes since the last call to the file; from then on they survive the end of the process.
    ///
    /// # Errors
    /// The file can't be written. The changes stay in memory, and the next call retries all of them.
    pub fn commit(&mut self) -> io::Result<()> {
        let unwritten = self.table.unwritten_frames().len();
        if unwritten == 0 {
            return Ok(());
        }
        if (self.file_length + unwritten) as f64 > self.max_disk_bytes as f64 * REWRITE_SHARE {
            return self.rewrite();
        }
        self.append()
    }

    fn append(&mut self) -> io::Result<()> {
        let frames = self.table.unwritten_frames();
        if let Err(error) = self.file.write_all(frames) {
            // Readers stop at a torn frame, and would miss all frames appended after it.
            self.file.set_len(self.file_length as u64)?;
            return Err(error);
        }
        self.file_length += frames.len();
        self.table.discard_unwritten_frames();
        Ok(())
    }

    /// Writes the table to a new file and renames it over the old one: a process killed before the rename leaves the
    /// old file intact.
    fn rewrite(&mut self) -> io::Result<()> {
        let rewritten = self.folder.join(REWRITE_FILE_NAME);
        let mut bytes = FILE_HEADER.to_vec();
        self.table.write_frames(&mut bytes);
        // Left by a failed rewrite; usually absent.
        let _ = fs::remove_file(&rewritten);
        let mut file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(&rewritten)?;
        file.write_all(&bytes)?;
        fs::rename(&rewritten, self.folder.join(FILE_NAME))?;
        self.file = file;
        self.file_length = bytes.len();
        self.table.discard_unwritten_frames();
        Ok(())
    }

    /// Removes all events and truncates the file to its header, after the events have moved to a Raft group.
    ///
    /// # Errors
    /// The file can't be truncated; all events are then kept.
    pub fn clear(&mut self) -> io::Result<()> {
        self.file.set_len(FILE_HEADER.len() as u64)?;
        self.file_length = FILE_HEADER.len();
        self.table = EventTable::default();
        Ok(())
    }
}

fn read_if_present(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    match File::open(path) {
        Ok(mut file) => file.read_to_end(&mut bytes)?,
        Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
        Err(error) => return Err(error),
    };
    Ok(bytes)
}

/// Whether the length of the log's file in `folder` differs from `length`, in bytes: another process has written to it.
///
/// # Errors
/// The file's length can't be read.
pub fn has_length_changed(folder: &Path, length: u64) -> io::Result<bool> {
    Ok(fs::metadata(folder.join(FILE_NAME))?.len() != length)
}
