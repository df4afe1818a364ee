//! One group's log: a file of frames, each written and synced before the next begins. So only the last can be
//! torn; a broken one before others is damage, and the group is not used.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::folder;
use crate::core::effects::{Base, Hard, Persist};
use crate::core::Kept;
use crate::wire::frame::{body, framed, head, HEAD};
use crate::wire::mirror;
use crate::{GroupId, Purpose};

#[derive(Serialize, Deserialize)]
enum Record {
    /// The first of a file.
    Whole {
        purpose: Purpose,
        base: Base,
        hard: Hard,
        entries: Vec<mirror::Entry>,
    },
    Batch(Vec<(Option<Hard>, Vec<mirror::Entry>)>),
}

/// Its file, open for more.
pub struct Log {
    file: File,
    path: PathBuf,
    purpose: Purpose,
    /// All before it is synced.
    length: u64,
    /// A frame that failed may stand after it.
    dirty: bool,
}

fn mirrored(entries: &[raft::eraftpb::Entry]) -> Vec<mirror::Entry> {
    entries.iter().map(Into::into).collect()
}

fn record(record: &Record) -> Vec<u8> {
    framed(postcard::to_extend(record, vec![0; HEAD]).unwrap_or_else(|_| vec![0; HEAD]))
}

fn damaged(path: &Path) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("{}: is damaged", path.display()),
    )
}

impl Log {
    /// A new group's file, synced.
    pub fn make(folder: &Path, group: GroupId, purpose: Purpose, kept: &Kept) -> io::Result<Log> {
        let path = folder::log_path(folder, group);
        let (base, hard) = (kept.base.clone(), kept.hard);
        let first = record(&Record::Whole {
            purpose,
            base,
            hard,
            entries: mirrored(&kept.entries),
        });
        Log::written(path, purpose, &first)
    }

    fn written(path: PathBuf, purpose: Purpose, first: &[u8]) -> io::Result<Log> {
        folder::replace(&path, |file| file.write_all(first))?;
        let mut file = OpenOptions::new().write(true).open(&path)?;
        let length = file.seek(SeekFrom::End(0))?;
        Ok(Log {
            file,
            path,
            purpose,
            length,
            dirty: false,
        })
    }

    /// Reads a group's file. A torn end was never acknowledged and is dropped.
    pub fn open(folder: &Path, group: GroupId) -> io::Result<(Log, Kept)> {
        let path = folder::log_path(folder, group);
        let bytes = fs::read(&path)?;
        let mut kept = Kept {
            restarted: true,
            ..Kept::default()
        };
        let mut purpose = None;
        let mut at = 0;
        while let Some((record, next)) = next(&bytes, at).map_err(|()| damaged(&path))? {
            at = next;
            match record {
                Record::Whole {
                    purpose: own,
                    base,
                    hard,
                    entries,
                } => {
                    purpose = Some(own);
                    let entries = entries.into_iter().map(Into::into).collect();
                    kept = Kept {
                        base,
                        hard,
                        entries,
                        restarted: true,
                    };
                }
                Record::Batch(all) => {
                    for (hard, entries) in all {
                        let entries = entries.into_iter().map(Into::into).collect();
                        kept.take(Persist {
                            number: 0,
                            hard,
                            entries,
                            base: None,
                        });
                    }
                }
            }
        }
        let purpose = purpose.ok_or_else(|| damaged(&path))?;
        let file = OpenOptions::new().write(true).open(&path)?;
        let mut log = Log {
            file,
            path,
            purpose,
            length: at as u64,
            dirty: false,
        };
        if at < bytes.len() {
            log.back()?;
            log.file.sync_all()?;
        }
        log.file.seek(SeekFrom::Start(log.length))?;
        Ok((log, kept))
    }

    /// Writes and syncs all of it, in its order. After an error nothing of the last frame is there, and the
    /// number of those that are is told.
    pub fn take(&mut self, all: &[Persist]) -> Result<(), (usize, io::Error)> {
        let mut done = 0;
        while done < all.len() {
            let written = match &all[done].base {
                Some(base) => self.rewrite(base, &all[done]).map(|()| 1),
                None => {
                    let batch: Vec<&Persist> = all[done..]
                        .iter()
                        .take_while(|p| p.base.is_none())
                        .collect();
                    self.append(&batch).map(|()| batch.len())
                }
            };
            done += written.map_err(|e| (done, e))?;
        }
        Ok(())
    }

    fn rewrite(&mut self, base: &Base, persist: &Persist) -> io::Result<()> {
        let hard = persist.hard.unwrap_or_default();
        let entries = mirrored(&persist.entries);
        let first = record(&Record::Whole {
            purpose: self.purpose,
            base: base.clone(),
            hard,
            entries,
        });
        *self = Log::written(self.path.clone(), self.purpose, &first)?;
        Ok(())
    }

    fn append(&mut self, batch: &[&Persist]) -> io::Result<()> {
        let all = batch
            .iter()
            .map(|p| (p.hard, mirrored(&p.entries)))
            .collect();
        let bytes = record(&Record::Batch(all));
        if self.dirty {
            self.back()?;
        }
        // What the next try writes must follow on what is synced.
        self.dirty = true;
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.dirty = false;
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn back(&mut self) -> io::Result<()> {
        self.file.set_len(self.length)?;
        self.file.seek(SeekFrom::Start(self.length)).map(|_| ())
    }

    pub fn bytes(&self) -> u64 {
        self.length
    }

    pub fn purpose(&self) -> Purpose {
        self.purpose
    }
}

/// The record at `at` and where the next begins; None at the end or where the last is torn.
fn next(bytes: &[u8], at: usize) -> Result<Option<(Record, usize)>, ()> {
    let rest = &bytes[at..];
    let Some((first, rest)) = rest.split_first_chunk::<HEAD>() else {
        return Ok(None);
    };
    let Ok((length, sum)) = head(*first, rest.len()) else {
        return Ok(None);
    };
    if let Ok(record) = body(&rest[..length], sum) {
        return Ok(Some((record, at + HEAD + length)));
    }
    // More after it than the zeros of a file that was made longer first: it once was whole.
    match rest[length..].iter().all(|b| *b == 0) {
        true => Ok(None),
        false => Err(()),
    }
}
