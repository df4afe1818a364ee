//! Targets that operators have disabled, with their record in the state folder: a change is in the file before anybody
//! learns of it. Owned by the event loop.

use std::io;
use std::path::{Path, PathBuf};

use plankhill_admin::{CorruptRecord, DisabledTargets, RecordChange, TargetSwitch};
use plankhill_decisions::interface::EndpointState;

/// Names of the record in the state folder, and of the one that takes its place.
const FILE: &str = "bans";
const NEW_FILE: &str = "bans.new";
/// The record's share of the disk, as a divisor: the new record stands beside it, and the event log and the endpoint
/// list leave a twentieth.
const DISK_SHARE: u64 = 80;

/// The record cannot be used; without it nothing says which targets are disabled.
#[derive(Debug, thiserror::Error)]
pub enum DisabledTargetsError {
    /// The file cannot be read.
    #[error("PROXY_STATE: {path}: cannot be read: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        error: io::Error,
    },
    /// The file is damaged.
    #[error("PROXY_STATE: {path}: {error}")]
    Corrupt {
        /// The file.
        path: String,
        /// What is wrong with it.
        error: CorruptRecord,
    },
}

/// How switching a target went.
pub enum SwitchOutcome {
    /// No target was ever listed under that id.
    NeverListed,
    /// The target is in that state already.
    Unchanged,
    /// The record is written; the scheduler is to learn of that state, if the list names the target.
    Changed(Option<EndpointState>),
}

pub struct DisabledTargetStore {
    targets: DisabledTargets,
    folder: PathBuf,
    max_record_bytes: u64,
}

impl DisabledTargetStore {
    /// Reads the record of the state folder; no file is no disabled target.
    ///
    /// # Errors
    /// The file cannot be read, or is damaged.
    pub fn open(folder: &Path, max_disk_bytes: u64) -> Result<Self, DisabledTargetsError> {
        let file = folder.join(FILE);
        let path = || file.display().to_string();
        let targets = match std::fs::read_to_string(&file) {
            Ok(record) => {
                DisabledTargets::parse(&record).map_err(|error| DisabledTargetsError::Corrupt {
                    path: path(),
                    error,
                })?
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => DisabledTargets::default(),
            Err(error) => {
                return Err(DisabledTargetsError::Unreadable {
                    path: path(),
                    error,
                })
            }
        };
        Ok(DisabledTargetStore {
            targets,
            folder: folder.to_owned(),
            max_record_bytes: max_disk_bytes / DISK_SHARE,
        })
    }

    pub fn targets(&self) -> &DisabledTargets {
        &self.targets
    }

    pub fn targets_mut(&mut self) -> &mut DisabledTargets {
        &mut self.targets
    }

    /// Disables or enables a target.
    ///
    /// # Errors
    /// The record cannot be written; nothing is changed then.
    pub fn switch(&mut self, id: &str, switch: TargetSwitch) -> io::Result<SwitchOutcome> {
        match self.targets.plan(id, switch) {
            RecordChange::NeverListed => Ok(SwitchOutcome::NeverListed),
            RecordChange::Unchanged => Ok(SwitchOutcome::Unchanged),
            RecordChange::Record(record) => {
                self.write(&record)?;
                Ok(SwitchOutcome::Changed(self.targets.apply(id, switch)))
            }
        }
    }

    fn write(&self, record: &str) -> io::Result<()> {
        if record.len() as u64 > self.max_record_bytes {
            return Err(io::Error::other(
                "too many targets are left out for the disk",
            ));
        }
        let new = self.folder.join(NEW_FILE);
        std::fs::write(&new, record)?;
        std::fs::rename(&new, self.folder.join(FILE))
    }
}
