//! The identity of an instance's folder and of its current start. A copied folder, or one restored from a backup, lacks
//! the votes and acknowledgements given since the copy was made. A copy is detected here by the file's own inode and
//! creation time, and by other instances by the generation of its start ([`super::known_starts`]).

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

/// The identity of the folder. The order of fields is part of the disk format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The incarnation, drawn at random when the folder was empty.
    pub incarnation: Incarnation,
    /// The latest start on the folder.
    pub start: Start,
    /// The number of the next group that this incarnation founds.
    pub next_group: u32,
    file: FileNumbers,
}

/// The attributes that distinguish a file from a copy of it. An inode number alone is not enough, since the file system
/// reuses it; on a file system that does not report creation times only the inode number is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct FileNumbers {
    inode: u64,
    /// The creation time in nanoseconds since the Unix epoch; zero if unavailable.
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

/// Opens the folder and begins a new start on it: increments the generation and syncs it before any other instance
/// learns of it. An empty folder becomes a new incarnation.
///
/// # Errors
/// The folder can't be read or written, is a copy of an instance's folder, or contains groups but no identity.
pub fn begin_start(folder: &Path) -> io::Result<Identity> {
    fs::create_dir_all(folder.join("groups"))?;
    let path = folder.join(FILE_NAME);
    let stored: Option<Identity> = atomic_file::read_frame(&path)?;
    if stored.is_none() && !group_files::groups(folder)?.is_empty() {
        return Err(invalid_data(format!(
            "{}: contains groups but no identity file",
            folder.display()
        )));
    }
    let nonce = draw_random()?;
    let mut identity = match stored {
        Some(stored) if FileNumbers::of(&fs::metadata(&path)?) != stored.file => {
            return Err(invalid_data(format!(
                "{}: is a copy of an instance's folder and lacks what the instance acknowledged since the copy was \
                 made: start on an empty folder",
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

/// Stores the identity and syncs it.
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

fn invalid_data(reason: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
