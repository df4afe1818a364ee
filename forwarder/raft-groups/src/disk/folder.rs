//! The folder of an instance: whose life it is, whom it met, and its groups.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

use rand::rngs::OsRng;
use rand::TryRngCore;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::wire::frame::{body, frame, head, HEAD};
use crate::wire::said::StartOptions;
use crate::{GroupId, Incarnation, InstanceName};

/// The life of a folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub incarnation: Incarnation,
    pub start: StartOptions,
    /// The number of the next group that it founds.
    pub next_group: u32,
    /// The file's own number on its disk, and when it was made there: a copy of the file has others.
    file: (u64, u64),
}

/// Whom it met: their names and the latest starts that it knows of.
pub type Met = BTreeMap<Incarnation, (InstanceName, StartOptions)>;

/// The most incarnations remembered.
pub const MOST_MET: usize = 1024;

const IDENTITY: &str = "instance";
const MET: &str = "met";

fn invalid(why: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

fn drawn() -> io::Result<u64> {
    OsRng
        .try_next_u64()
        .map_err(|e| io::Error::other(e.to_string()))
}

/// Opens the folder and begins a start on it: its generation grows, synced, before anyone hears of it. An empty
/// folder is a new life.
pub fn begin(folder: &Path) -> io::Result<Identity> {
    fs::create_dir_all(folder.join("groups"))?;
    let path = folder.join(IDENTITY);
    let kept = read::<Identity>(&path)?;
    if kept.is_none() && !groups(folder)?.is_empty() {
        return Err(invalid(format!(
            "{}: has groups but not whose they are",
            folder.display()
        )));
    }
    let draw = drawn()?;
    let mut identity = match kept {
        Some(kept) if file_itself(&fs::metadata(&path)?) != kept.file => {
            return Err(invalid(format!(
            "{}: is a copy of an instance's folder; what was promised since it was made is not in it: start \
                 on an empty folder",
            folder.display()
        )))
        }
        Some(kept) => kept,
        None => {
            let incarnation = Incarnation(drawn()?.max(1));
            Identity { incarnation, start: StartOptions::default(), next_group: 1, file: (0, 0) }
        }
    };
    identity.start = StartOptions {
        generation: identity.start.generation + 1,
        draw,
    };
    note_identity(folder, &identity)?;
    Ok(identity)
}

/// A number alone is given anew to the next file. A file system that does not say when it was made has the
/// number only.
fn file_itself(file: &fs::Metadata) -> (u64, u64) {
    let made = file
        .created()
        .ok()
        .and_then(|at| at.duration_since(UNIX_EPOCH).ok());
    (file.ino(), made.map_or(0, |at| at.as_nanos() as u64))
}

/// Notes it, synced.
pub fn note_identity(folder: &Path, identity: &Identity) -> io::Result<()> {
    let mut identity = identity.clone();
    replace(&folder.join(IDENTITY), |file| {
        identity.file = file_itself(&file.metadata()?);
        file.write_all(&frame(&identity))
    })
}

pub fn met(folder: &Path) -> io::Result<Met> {
    Ok(read(&folder.join(MET))?.unwrap_or_default())
}

pub fn note_met(folder: &Path, met: &Met) -> io::Result<()> {
    replace(&folder.join(MET), |file| file.write_all(&frame(met)))
}

fn read<T: DeserializeOwned>(path: &Path) -> io::Result<Option<T>> {
    let bytes = match fs::read(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        read => read?,
    };
    let broken = || invalid(format!("{}: is damaged", path.display()));
    let (first, rest) = bytes.split_first_chunk::<HEAD>().ok_or_else(broken)?;
    let (length, sum) = head(*first, rest.len()).map_err(|_| broken())?;
    Ok(Some(body(&rest[..length], sum).map_err(|_| broken())?))
}

/// Writes a file beside `path` and puts it in its place, synced: all of it is there or nothing.
pub fn replace(path: &Path, write: impl FnOnce(&mut File) -> io::Result<()>) -> io::Result<()> {
    let beside = path.with_extension("new");
    let written = (|| {
        let mut file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .open(&beside)?;
        write(&mut file)?;
        file.sync_all()?;
        fs::rename(&beside, path)?;
        sync_parent(path)
    })();
    if written.is_err() {
        // It would only take room.
        let _ = fs::remove_file(&beside);
    }
    written
}

pub fn sync_parent(path: &Path) -> io::Result<()> {
    path.parent()
        .map_or(Ok(()), |parent| File::open(parent)?.sync_all())
}

fn file_name(group: GroupId, extension: &str) -> String {
    format!("{:016x}-{}.{extension}", group.founder.0, group.number)
}

pub fn log_path(folder: &Path, group: GroupId) -> PathBuf {
    folder.join("groups").join(file_name(group, "log"))
}

fn gone_path(folder: &Path, group: GroupId) -> PathBuf {
    folder.join("groups").join(file_name(group, "gone"))
}

/// The groups whose logs are there, in their order.
pub fn groups(folder: &Path) -> io::Result<Vec<GroupId>> {
    of_kind(folder, "log")
}

/// The groups that were here and are dissolved: they are not made again.
pub fn gone(folder: &Path) -> io::Result<Vec<GroupId>> {
    of_kind(folder, "gone")
}

fn of_kind(folder: &Path, kind: &str) -> io::Result<Vec<GroupId>> {
    let mut all = Vec::new();
    for entry in fs::read_dir(folder.join("groups"))? {
        let name = entry?.file_name();
        let parsed = name.to_str().and_then(|name| {
            let (id, extension) = name.rsplit_once('.')?;
            let (founder, number) = id.split_once('-')?;
            let founder = Incarnation(u64::from_str_radix(founder, 16).ok()?);
            (extension == kind).then_some(GroupId {
                founder,
                number: number.parse().ok()?,
            })
        });
        all.extend(parsed);
    }
    all.sort();
    Ok(all)
}

/// Forgets a group, but not that it was there.
pub fn bury(folder: &Path, group: GroupId) -> io::Result<()> {
    let gone = gone_path(folder, group);
    File::create(&gone)?.sync_all()?;
    sync_parent(&gone)?;
    match fs::remove_file(log_path(folder, group)) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}
