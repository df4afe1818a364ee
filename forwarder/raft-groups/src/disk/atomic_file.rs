//! Atomically replaced files: after a crash, either the old or the new version exists.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::wire::frame::{decode_body, decode_header, HEADER_LEN};

/// Writes a temporary file beside `path`, syncs it and renames it to `path`.
pub(super) fn replace(
    path: &Path,
    write: impl FnOnce(&mut File) -> io::Result<()>,
) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let replaced = write_and_rename(&temporary, path, write);
    if replaced.is_err() {
        // A leftover temporary file would only use disk space, so a failure is ignored.
        let _ = fs::remove_file(&temporary);
    }
    replaced
}

fn write_and_rename(
    temporary: &Path,
    path: &Path,
    write: impl FnOnce(&mut File) -> io::Result<()>,
) -> io::Result<()> {
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .open(temporary)?;
    write(&mut file)?;
    file.sync_all()?;
    fs::rename(temporary, path)?;
    sync_parent(path)
}

/// Syncs the parent folder of `path`, so that a new directory entry survives a crash.
pub(super) fn sync_parent(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}

/// Reads a file that consists of one frame; returns `None` if the file does not exist.
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

/// The error for a file whose contents are invalid.
pub(super) fn damaged(path: &Path) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("{}: is damaged", path.display()),
    )
}
