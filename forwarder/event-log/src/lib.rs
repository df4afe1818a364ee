//! The forwarder's record of what it has taken on, in the folder that outlasts its process. Frames are
//! appended, each with its length and checksum; what a kill tore off at the end is dropped when the record
//! is read again. When too much of it is over, it is written anew without that. Times are the system
//! clock's, in milliseconds.

mod frame;
mod owed;
mod promise;
mod record;
#[cfg(test)]
mod stored_format_tests;

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};

pub use frame::{frames, AcceptedEvent, Outcome};
pub use owed::PendingEvent;
pub use promise::{DeliveryGuarantee, RepeatSafety};
pub use record::EventTable;

const MAGIC: &[u8] = b"plankhill ledger 1\n";
/// The share of the disk for what is live. While the record is written anew, the old file (up to `REWRITE`)
/// and the new one stand side by side, and both have to fit.
const LIVE: f64 = 0.4;
const REWRITE: f64 = 0.5;

/// A record, and the file that it is kept in.
pub struct EventLog {
    folder: PathBuf,
    file: File,
    written: usize,
    most: usize,
    record: EventTable,
}

impl Deref for EventLog {
    type Target = EventTable;

    fn deref(&self) -> &EventTable {
        &self.record
    }
}

impl DerefMut for EventLog {
    fn deref_mut(&mut self) -> &mut EventTable {
        &mut self.record
    }
}

impl EventLog {
    /// Opens the record and reads what is still owed, in the order taken.
    pub fn open(folder: &Path, disk: u64) -> io::Result<(EventLog, Vec<PendingEvent>)> {
        let path = folder.join("ledger");
        let mut bytes = Vec::new();
        match File::open(&path) {
            Ok(mut file) => drop(file.read_to_end(&mut bytes)?),
            Err(e) if e.kind() == io::ErrorKind::NotFound => (),
            Err(e) => return Err(e),
        }
        if !bytes.starts_with(MAGIC) && !MAGIC.starts_with(&bytes) {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the file 'ledger' is not a ledger",
            ));
        }
        let _ = fs::remove_file(folder.join("ledger.new"));
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let record = EventTable::default();
        let mut ledger = EventLog {
            folder: folder.to_owned(),
            file,
            written: 0,
            most: disk as usize,
            record,
        };
        let read = ledger
            .record
            .apply_frames(bytes.get(MAGIC.len()..).unwrap_or_default());
        if bytes.len() < MAGIC.len() {
            ledger.file.set_len(0)?;
            ledger.file.write_all(MAGIC)?;
            ledger.written = MAGIC.len();
        } else {
            ledger.written = MAGIC.len() + read;
            ledger.file.set_len(ledger.written as u64)?;
        }
        let owed = ledger.record.pending_events();
        Ok((ledger, owed))
    }

    /// Whether an event with that body still fits.
    pub fn has_capacity_for(&self, body: usize) -> bool {
        ((self.record.reserved_bytes() + EventTable::max_growth(body)) as f64)
            < self.most as f64 * LIVE
    }

    /// Written by a process that takes over, before it decides anything: whoever wrote before sees that the
    /// record has grown, and stops.
    pub fn change_owner(&mut self) -> io::Result<()> {
        self.record.nobody_is_over();
        // Never written anew here: who wrote before would go on in a file that is not there any more.
        self.append()
    }

    /// What is written, in bytes.
    pub fn file_length(&self) -> u64 {
        self.written as u64
    }

    /// Writes what was marked since the last call; it outlasts the process from now on.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.record.unwritten_frames().is_empty() {
            return Ok(());
        }
        if (self.written + self.record.unwritten_frames().len()) as f64 > self.most as f64 * REWRITE
        {
            return self.rewrite();
        }
        self.append()
    }

    fn append(&mut self) -> io::Result<()> {
        if let Err(e) = self.file.write_all(self.record.unwritten_frames()) {
            // Half a frame would hide all that follows it.
            self.file.set_len(self.written as u64)?;
            return Err(e);
        }
        self.written += self.record.unwritten_frames().len();
        self.record.is_written();
        Ok(())
    }

    fn rewrite(&mut self) -> io::Result<()> {
        let (path, new) = (self.folder.join("ledger"), self.folder.join("ledger.new"));
        let mut bytes = MAGIC.to_vec();
        self.record.write_frames(&mut bytes);
        let _ = fs::remove_file(&new);
        let mut file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(&new)?;
        file.write_all(&bytes)?;
        fs::rename(&new, &path)?;
        self.file = file;
        self.written = bytes.len();
        self.record.is_written();
        Ok(())
    }

    /// Another keeps the record from now on: the file is emptied, and what it held forgotten here.
    pub fn clear(&mut self) -> io::Result<()> {
        self.file.set_len(MAGIC.len() as u64)?;
        self.written = MAGIC.len();
        self.record = EventTable::default();
        Ok(())
    }
}

/// Whether the record in the folder has another length than it had: another process writes it.
pub fn has_length_changed(folder: &Path, length: u64) -> io::Result<bool> {
    Ok(fs::metadata(folder.join("ledger"))?.len() != length)
}
