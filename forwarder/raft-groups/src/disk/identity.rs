//! Whose folder it is, and which start of it this is. A copy of a folder, or one that was put back from a backup,
//! lacks what was promised from it since: it is recognised here by the file's own numbers, and by other instances by
//! the generation of its start ([`super::known_starts`]).

use std::fs;
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::UNIX_EPOCH;

use rand::rngs::OsRng;
use rand::TryRngCore;
use serde::{Deserialize, Serialize};

use super::{atomic_file, group_files};
use crate::wire::frame::encode_frame;
use crate::wire::message::Start;
use crate::Incarnation;

const FILE_NAME: &str = "instance";

/// Whose folder it is. The order of fields is the form on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Drawn when the folder was empty.
    pub incarnation: Incarnation,
    /// The newest start of the folder.
    pub start: Start,
    /// The number of the next group that it founds.
    pub next_group: u32,
    file: FileNumbers,
}

/// What a copy of a file has of its own. A number alone is given again to the next file; a file system that does not
/// say when a file was made has the number only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct FileNumbers {
    inode: u64,
    /// Nanoseconds since the Unix epoch.
    created_at: u64,
}

impl FileNumbers {
    fn of(file: &fs::Metadata) -> FileNumbers {
        let created = file
            .created()
            .ok()
            .and_then(|at| at.duration_since(UNIX_EPOCH).ok());
        let created_at = created.map_or(0, |since_epoch| since_epoch.as_nanos() as u64);
        FileNumbers {
            inode: file.ino(),
            created_at,
        }
    }
}

/// Opens the folder and begins a start on it: its generation grows, synced, before another instance hears of it. An
/// empty folder is a new incarnation.
///
/// # Errors
/// The folder can't be read or written, is a copy of an instance's folder, or has groups and no identity.
pub fn begin_start(folder: &Path) -> io::Result<Identity> {
    fs::create_dir_all(folder.join("groups"))?;
    let path = folder.join(FILE_NAME);
    let stored: Option<Identity> = atomic_file::read_frame(&path)?;
    if stored.is_none() && !group_files::groups(folder)?.is_empty() {
        return Err(invalid(format!(
            "{}: has groups but not whose they are",
            folder.display()
        )));
    }
    let nonce = draw_random()?;
    let mut identity = match stored {
        Some(stored) if FileNumbers::of(&fs::metadata(&path)?) != stored.file => {
            return Err(invalid(format!(
                "{}: is a copy of an instance's folder; what was promised since it was made is not in it: start \
                 on an empty folder",
                folder.display()
            )));
        }
        Some(stored) => stored,
        None => Identity {
            incarnation: Incarnation(draw_random()?.max(1)),
            start: Start::default(),
            next_group: 1,
            file: FileNumbers {
                inode: 0,
                created_at: 0,
            },
        },
    };
    identity.start = Start {
        generation: identity.start.generation + 1,
        nonce,
    };
    store(folder, &identity)?;
    Ok(identity)
}

/// Stores the identity, synced.
///
/// # Errors
/// The file can't be written.
pub fn store(folder: &Path, identity: &Identity) -> io::Result<()> {
    let mut identity = identity.clone();
    atomic_file::replace(&folder.join(FILE_NAME), |file| {
        identity.file = FileNumbers::of(&file.metadata()?);
        file.write_all(&encode_frame(&identity))
    })
}

fn draw_random() -> io::Result<u64> {
    OsRng
        .try_next_u64()
        .map_err(|error| io::Error::other(error.to_string()))
}

fn invalid(reason: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
