//! The log of one group: a file of frames, each written and synced before the next one begins. Therefore only the last
//! frame can be torn; an invalid frame that precedes others means damage, and the group is not used.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::atomic_file::{self, damaged};
use super::group_files;
use crate::replica::effects::{HardState, PersistRequest, SnapshotBase};
use crate::replica::PersistedState;
use crate::wire::frame::{decode_body, decode_header, encode_frame, HEADER_LEN};
use crate::wire::raft_message::Entry;
use crate::{GroupId, Purpose};

/// The body of a frame. The order of variants and fields is part of the disk format.
#[derive(Serialize, Deserialize)]
enum LogRecord {
    /// The first record of a file.
    Base {
        purpose: Purpose,
        base: SnapshotBase,
        hard_state: HardState,
        entries: Vec<Entry>,
    },
    /// The writes that arrived while the disk synced the previous frame.
    Batch(Vec<BatchItem>),
}

#[derive(Serialize, Deserialize)]
struct BatchItem {
    hard_state: Option<HardState>,
    entries: Vec<Entry>,
}

/// At least one of the requests could not be written.
#[derive(Debug, thiserror::Error)]
#[error("{error}")]
pub struct PersistError {
    /// The number of requests before the failed one, which are written and synced.
    pub persisted: usize,
    /// The error of the failed request.
    pub error: io::Error,
}

/// The log file of a group, open for appending.
pub struct GroupLog {
    file: File,
    path: PathBuf,
    purpose: Purpose,
    /// The length of the synced part of the file.
    synced_length: u64,
    /// Whether the file may contain part of a failed frame after `synced_length`.
    has_torn_tail: bool,
}

impl GroupLog {
    /// Creates the file of a new group and syncs it.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn create(
        folder: &Path,
        group: GroupId,
        purpose: Purpose,
        state: &PersistedState,
    ) -> io::Result<GroupLog> {
        let first = LogRecord::Base {
            purpose,
            base: state.base.clone(),
            hard_state: state.hard_state,
            entries: to_stored_entries(&state.entries),
        };
        GroupLog::write_new(group_files::log_path(folder, group), purpose, &first)
    }

    fn write_new(path: PathBuf, purpose: Purpose, first: &LogRecord) -> io::Result<GroupLog> {
        let frame = encode_frame(first);
        atomic_file::replace(&path, |file| file.write_all(&frame))?;
        let mut file = OpenOptions::new().write(true).open(&path)?;
        let synced_length = file.seek(SeekFrom::End(0))?;
        Ok(GroupLog {
            file,
            path,
            purpose,
            synced_length,
            has_torn_tail: false,
        })
    }

    /// Opens and reads the file of a group. A torn tail was never acknowledged and is truncated.
    ///
    /// # Errors
    /// The file can't be read or is damaged.
    pub fn open(folder: &Path, group: GroupId) -> io::Result<(GroupLog, PersistedState)> {
        let path = group_files::log_path(folder, group);
        let bytes = fs::read(&path)?;
        let mut state = PersistedState {
            is_restart: true,
            ..PersistedState::default()
        };
        let mut purpose = None;
        let mut position = 0;
        while let Some(framed) = read_record(&bytes[position..]).map_err(|_| damaged(&path))? {
            position += framed.length;
            apply_record(framed.record, &mut state, &mut purpose);
        }
        let purpose = purpose.ok_or_else(|| damaged(&path))?;
        let file = OpenOptions::new().write(true).open(&path)?;
        let synced_length = position as u64;
        let mut log = GroupLog {
            file,
            path,
            purpose,
            synced_length,
            has_torn_tail: false,
        };
        if position < bytes.len() {
            log.truncate_torn_tail()?;
            log.file.sync_all()?;
        }
        log.file.seek(SeekFrom::Start(log.synced_length))?;
        Ok((log, state))
    }

    /// Writes and syncs all requests in order.
    ///
    /// # Errors
    /// A write or sync failed. No part of the failed frame counts as written.
    pub fn persist(&mut self, requests: &[PersistRequest]) -> Result<(), PersistError> {
        let mut persisted = 0;
        while let Some(next) = requests.get(persisted) {
            let written = match &next.base {
                Some(base) => self.rewrite(base, next).map(|()| 1),
                None => {
                    let rest = requests[persisted..].iter();
                    let batch: Vec<&PersistRequest> =
                        rest.take_while(|request| request.base.is_none()).collect();
                    self.append(&batch).map(|()| batch.len())
                }
            };
            persisted += written.map_err(|error| PersistError { persisted, error })?;
        }
        Ok(())
    }

    fn rewrite(&mut self, base: &SnapshotBase, request: &PersistRequest) -> io::Result<()> {
        let first = LogRecord::Base {
            purpose: self.purpose,
            base: base.clone(),
            hard_state: request.hard_state.unwrap_or_default(),
            entries: to_stored_entries(&request.entries),
        };
        *self = GroupLog::write_new(self.path.clone(), self.purpose, &first)?;
        Ok(())
    }

    fn append(&mut self, batch: &[&PersistRequest]) -> io::Result<()> {
        let items = batch.iter().map(|request| BatchItem {
            hard_state: request.hard_state,
            entries: to_stored_entries(&request.entries),
        });
        let frame = encode_frame(&LogRecord::Batch(items.collect()));
        if self.has_torn_tail {
            self.truncate_torn_tail()?;
        }
        // If this write fails, the next frame must begin directly after the synced part.
        self.has_torn_tail = true;
        self.file.write_all(&frame)?;
        self.file.sync_data()?;
        self.has_torn_tail = false;
        self.synced_length += frame.len() as u64;
        Ok(())
    }

    fn truncate_torn_tail(&mut self) -> io::Result<()> {
        self.file.set_len(self.synced_length)?;
        self.file.seek(SeekFrom::Start(self.synced_length))?;
        Ok(())
    }

    /// The length of the file's synced part, in bytes.
    pub fn file_length(&self) -> u64 {
        self.synced_length
    }

    /// The purpose of the group.
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }
}

fn to_stored_entries(entries: &[raft::eraftpb::Entry]) -> Vec<Entry> {
    entries.iter().map(Entry::from).collect()
}

fn to_raft_entries(entries: Vec<Entry>) -> Vec<raft::eraftpb::Entry> {
    entries
        .into_iter()
        .map(raft::eraftpb::Entry::from)
        .collect()
}

fn apply_record(record: LogRecord, state: &mut PersistedState, purpose: &mut Option<Purpose>) {
    match record {
        LogRecord::Base {
            purpose: own_purpose,
            base,
            hard_state,
            entries,
        } => {
            *purpose = Some(own_purpose);
            let entries = to_raft_entries(entries);
            *state = PersistedState {
                base,
                hard_state,
                entries,
                is_restart: true,
            };
        }
        LogRecord::Batch(items) => {
            for item in items {
                state.apply(PersistRequest {
                    number: 0,
                    hard_state: item.hard_state,
                    entries: to_raft_entries(item.entries),
                    base: None,
                });
            }
        }
    }
}

/// A record and the length of its frame in bytes.
struct FramedRecord {
    record: LogRecord,
    length: usize,
}

/// A complete frame that was damaged after it had been written.
struct DamagedFrame;

/// Reads the record at the beginning of `bytes`; `None` at the end of the file or at a torn frame.
fn read_record(bytes: &[u8]) -> Result<Option<FramedRecord>, DamagedFrame> {
    let Some((header, rest)) = bytes.split_first_chunk::<HEADER_LEN>() else {
        return Ok(None);
    };
    let Ok(header) = decode_header(*header, rest.len()) else {
        return Ok(None);
    };
    let (body, following) = rest.split_at(header.length);
    if let Ok(record) = decode_body(body, header.checksum) {
        let length = HEADER_LEN + header.length;
        return Ok(Some(FramedRecord { record, length }));
    }
    // Only zeros can follow a torn frame, in a file whose length was extended before its data was written.
    if following.iter().all(|byte| *byte == 0) {
        Ok(None)
    } else {
        Err(DamagedFrame)
    }
}
