//! The targets that operators leave out, with their record in the folder that lasts: a ban is in the file
//! before anybody hears of it.

use std::io;
use std::path::{Path, PathBuf};

use plankhill_admin::{Bans, Change};
use plankhill_decisions::interface::EndpointState;
use plankhill_forwarder_config::fields::Plain;

const FILE: &str = "bans";

pub struct LeftOut {
    pub bans: Bans,
    folder: PathBuf,
    /// The longest record that the disk has room for.
    most: u64,
}

/// How an order on a target came out.
pub enum Done {
    NeverListed,
    Already,
    /// What the module is to hear, if the list names the target.
    Changed(Option<EndpointState>),
}

impl LeftOut {
    pub fn open(folder: &Path, disk: u64) -> Plain<Self> {
        let path = folder.join(FILE);
        let wrong = |what: String| format!("PROXY_STATE: {}: {what}", path.display());
        let bans = match std::fs::read_to_string(&path) {
            Ok(record) => Bans::read(&record).map_err(|damaged| wrong(damaged.to_string()))?,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Bans::default(),
            Err(e) => return Err(wrong(format!("cannot be read: {e}"))),
        };
        // Beside it stands the one that takes its place; the ledger and the list leave a twentieth.
        Ok(LeftOut {
            bans,
            folder: folder.to_owned(),
            most: disk / 80,
        })
    }

    pub fn order(&mut self, id: &str, ban: bool) -> io::Result<Done> {
        match self.bans.change(id, ban) {
            Change::NeverListed => Ok(Done::NeverListed),
            Change::Nothing => Ok(Done::Already),
            Change::Record(record) => {
                self.write(&record)?;
                Ok(Done::Changed(self.bans.set(id, ban)))
            }
        }
    }

    fn write(&self, record: &str) -> io::Result<()> {
        if record.len() as u64 > self.most {
            return Err(io::Error::other(
                "too many targets are left out for the disk",
            ));
        }
        let new = self.folder.join("bans.new");
        std::fs::write(&new, record)?;
        std::fs::rename(&new, self.folder.join(FILE))
    }
}
