//! The files of an instance's groups: a log for each group that the instance is a member of, and an empty file with the
//! extension `gone` for each removed group, so that a late message does not recreate the group.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use super::atomic_file::sync_parent;
use crate::{GroupId, Incarnation};

const LOG_EXTENSION: &str = "log";
const DISSOLVED_EXTENSION: &str = "gone";

fn path_of(folder: &Path, group: GroupId, extension: &str) -> PathBuf {
    folder.join("groups").join(format!("{group}.{extension}"))
}

/// Returns the path of the group's log.
pub fn log_path(folder: &Path, group: GroupId) -> PathBuf {
    path_of(folder, group, LOG_EXTENSION)
}

/// Lists the groups that have a log, in order of their ids.
///
/// # Errors
/// The folder can't be read.
pub fn groups(folder: &Path) -> io::Result<Vec<GroupId>> {
    with_extension(folder, LOG_EXTENSION)
}

/// Lists the groups that were removed here, in order of their ids.
///
/// # Errors
/// The folder can't be read.
pub fn dissolved_groups(folder: &Path) -> io::Result<Vec<GroupId>> {
    with_extension(folder, DISSOLVED_EXTENSION)
}

fn with_extension(folder: &Path, extension: &str) -> io::Result<Vec<GroupId>> {
    let mut groups = Vec::new();
    for entry in fs::read_dir(folder.join("groups"))? {
        let name = entry?.file_name();
        groups.extend(name.to_str().and_then(|name| parse_name(name, extension)));
    }
    groups.sort();
    Ok(groups)
}

fn parse_name(name: &str, wanted_extension: &str) -> Option<GroupId> {
    let (id, extension) = name.rsplit_once('.')?;
    if extension != wanted_extension {
        return None;
    }
    let (founder, number) = id.split_once('-')?;
    let founder = Incarnation(u64::from_str_radix(founder, 16).ok()?);
    Some(GroupId {
        founder,
        number: number.parse().ok()?,
    })
}

/// Removes the log of a dissolved group. The marker file is stored first: if the process were killed between the two
/// steps in reverse order, a late message could recreate the group.
///
/// # Errors
/// The folder can't be written.
pub fn remove_dissolved(folder: &Path, group: GroupId) -> io::Result<()> {
    let marker = path_of(folder, group, DISSOLVED_EXTENSION);
    File::create(&marker)?.sync_all()?;
    sync_parent(&marker)?;
    match fs::remove_file(log_path(folder, group)) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
