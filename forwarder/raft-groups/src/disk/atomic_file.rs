//! Files that are replaced as a whole: after a crash either the old or the new one is there.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::wire::frame::{decode_body, decode_header, HEADER_LEN};

/// Writes a file beside `path` and renames it over `path`, synced.
pub(super) fn replace(
    path: &Path,
    write: impl FnOnce(&mut File) -> io::Result<()>,
) -> io::Result<()> {
    let beside = path.with_extension("new");
    let replaced = write_and_rename(&beside, path, write);
    if replaced.is_err() {
        // It would only take disk space.
        let _ = fs::remove_file(&beside);
    }
    replaced
}

fn write_and_rename(
    beside: &Path,
    path: &Path,
    write: impl FnOnce(&mut File) -> io::Result<()>,
) -> io::Result<()> {
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .open(beside)?;
    write(&mut file)?;
    file.sync_all()?;
    fs::rename(beside, path)?;
    sync_parent(path)
}

/// Syncs the folder that `path` is in, so that a new name there outlasts a crash.
pub(super) fn sync_parent(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}

/// Reads a file that is one frame; `None` where there is no file.
pub(super) fn read_frame<T: DeserializeOwned>(path: &Path) -> io::Result<Option<T>> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let (header, rest) = bytes
        .split_first_chunk::<HEADER_LEN>()
        .ok_or_else(|| damaged(path))?;
    let header = decode_header(*header, rest.len()).map_err(|_| damaged(path))?;
    let value = decode_body(&rest[..header.length], header.checksum).map_err(|_| damaged(path))?;
    Ok(Some(value))
}

/// The error over a file whose bytes are not what was written.
pub(super) fn damaged(path: &Path) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("{}: is damaged", path.display()),
    )
}
