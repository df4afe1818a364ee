//! The newest start of each other instance's folder that was heard of. An instance whose folder is an older copy is
//! recognised by them, as its start is older or is another one of the same generation.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::atomic_file;
use crate::wire::frame::encode_frame;
use crate::wire::message::Start;
use crate::{Incarnation, InstanceName};

const FILE_NAME: &str = "met";

/// Incarnations that are remembered.
pub const MAX_KNOWN_STARTS: usize = 1024;

/// The newest start of one folder. The order of fields is the form on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownStart {
    /// The instance's name in the fleet file.
    pub name: InstanceName,
    /// The start.
    pub start: Start,
}

/// By incarnation.
pub type KnownStarts = BTreeMap<Incarnation, KnownStart>;

/// Reads the starts that were stored; none where nothing was.
///
/// # Errors
/// The file can't be read, or is damaged.
pub fn load(folder: &Path) -> io::Result<KnownStarts> {
    let stored = atomic_file::read_frame(&folder.join(FILE_NAME))?;
    Ok(stored.unwrap_or_default())
}

/// Stores the starts, synced.
///
/// # Errors
/// The file can't be written.
pub fn store(folder: &Path, known_starts: &KnownStarts) -> io::Result<()> {
    atomic_file::replace(&folder.join(FILE_NAME), |file| {
        file.write_all(&encode_frame(known_starts))
    })
}
