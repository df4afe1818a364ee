//! Targets that operators have disabled, with their record in the state folder: a change is written
//! to the file before it takes effect or is acknowledged. Owned by the event loop.

use std::io;
use std::path::{Path, PathBuf};

use plankhill_admin::{CorruptRecord, DisabledTargets, RecordChange, TargetSwitch};
use plankhill_decisions::interface::EndpointState;

/// File names, in the state folder, of the record and of the new record that replaces it.
const FILE: &str = "bans";
const NEW_FILE: &str = "bans.new";
/// Divisor for the record's share of the disk limit: the event log and the endpoint list leave a
/// twentieth of the limit, and during a replacement the old and the new record coexist.
const DISK_SHARE_DIVISOR: u64 = 80;

/// The record cannot be used, so it is unknown which targets are disabled.
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
        /// The fault in the file.
        error: CorruptRecord,
    },
}

/// Result of disabling or enabling a target.
pub enum SwitchOutcome {
    /// No target with that id was ever listed.
    NeverListed,
    /// The target is in that state already.
    Unchanged,
    /// The record is written. The state is the one to set in the scheduler; `None` if the target is
    /// not in the endpoint list.
    Changed(Option<EndpointState>),
}

pub struct DisabledTargetStore {
    targets: DisabledTargets,
    folder: PathBuf,
    max_record_bytes: u64,
}

impl DisabledTargetStore {
    /// Reads the record in the state folder. Without a file no target is disabled.
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
            max_record_bytes: max_disk_bytes / DISK_SHARE_DIVISOR,
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
    /// The record cannot be written; in this case nothing is changed.
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
                "the record of disabled targets exceeds its share of the disk limit",
            ));
        }
        let new = self.folder.join(NEW_FILE);
        std::fs::write(&new, record)?;
        std::fs::rename(&new, self.folder.join(FILE))
    }
}
