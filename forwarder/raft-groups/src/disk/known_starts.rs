//! The latest known start of each other instance's folder. An instance whose folder is an older copy is detected by
//! them: its start is older, or differs from the known start of the same generation.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::atomic_file;
use crate::wire::frame::encode_frame;
use crate::wire::message::Start;
use crate::{Incarnation, InstanceName};

const FILE_NAME: &str = "met";

/// The maximum number of incarnations stored.
pub const MAX_KNOWN_STARTS: usize = 1024;

/// The latest known start of one folder. The order of fields is part of the disk format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownStart {
    /// The instance's name in the fleet file.
    pub name: InstanceName,
    /// The start.
    pub start: Start,
}

/// The known starts by incarnation.
pub type KnownStarts = BTreeMap<Incarnation, KnownStart>;

/// Reads the stored starts; returns an empty map if none are stored.
///
/// # Errors
/// The file can't be read or is damaged.
pub fn load(folder: &Path) -> io::Result<KnownStarts> {
    let stored = atomic_file::read_frame(&folder.join(FILE_NAME))?;
    Ok(stored.unwrap_or_default())
}

/// Stores the starts and syncs them.
///
/// # Errors
/// The file can't be written.
pub fn store(folder: &Path, known_starts: &KnownStarts) -> io::Result<()> {
    atomic_file::replace(&folder.join(FILE_NAME), |file| {
        file.write_all(&encode_frame(known_starts))
    })
}
