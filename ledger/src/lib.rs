//! The forwarder's record of what it has taken on, in the folder that outlasts its process. Frames are
//! appended, each with its length and checksum; what a kill tore off at the end is dropped when the record
//! is read again. When too much of it is over, it is written anew without that. Times are the system
//! clock's, in milliseconds.

mod frame;

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use frame::{Mark, Reader};
pub use frame::{Outcome, Taken};

const MAGIC: &[u8] = b"plankhill ledger 1\n";
/// The share of the disk for what is live. While the record is written anew, the old file (up to `REWRITE`)
/// and the new one stand side by side, and both have to fit.
const LIVE: f64 = 0.4;
const REWRITE: f64 = 0.5;
/// Kept free for the marks of each event: a few sends and its end.
const MARKS: usize = 800;
/// Kept free for what is noted of a target.
const NOTE: usize = 100;

pub struct Ledger {
    folder: PathBuf,
    file: File,
    written: usize,
    most: usize,
    pending: Vec<u8>,
    events: BTreeMap<u64, Kept>, // in the order taken
    places: HashMap<String, u64>,
    cold: BTreeMap<String, (f64, f64)>,
    live: usize,
    next: u64,
}

/// The frames of an event that is not over.
struct Kept {
    id: String,
    frames: Vec<u8>,
    reserved: usize,
}

/// An event that an earlier process took on and did not bring to its end.
#[derive(Debug)]
pub struct Owed {
    pub taken: Taken<'static>,
    pub sends: u32,
    /// The first send that may have run: when, and to which zone.
    pub may_have_run: Option<(f64, String)>,
    /// Its last send had no outcome when the process ended; it may have run too.
    pub was_out: Option<(f64, String)>,
    /// It ended; its notice may not have been heard.
    pub ended: Option<(Outcome, Option<f64>)>,
}

impl Ledger {
    /// Opens the record and reads what is still owed, in the order taken.
    pub fn open(folder: &Path, disk: u64) -> io::Result<(Ledger, Vec<Owed>)> {
        let path = folder.join("ledger");
        let _ = fs::remove_file(folder.join("ledger.new"));
        let mut bytes = Vec::new();
        match File::open(&path) {
            Ok(mut file) => drop(file.read_to_end(&mut bytes)?),
            Err(e) if e.kind() == io::ErrorKind::NotFound => (),
            Err(e) => return Err(e),
        }
        if !bytes.starts_with(MAGIC) && !MAGIC.starts_with(&bytes) {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the file 'ledger' is not a ledger"));
        }
        let mut ledger = Ledger {
            folder: folder.to_owned(),
            file: OpenOptions::new().create(true).append(true).open(&path)?,
            written: 0,
            most: disk as usize,
            pending: Vec::new(),
            events: BTreeMap::new(),
            places: HashMap::new(),
            cold: BTreeMap::new(),
            live: 0,
            next: 0,
        };
        let mut owed = BTreeMap::new();
        let mut reader = Reader::new(bytes.get(MAGIC.len()..).unwrap_or_default());
        while let Some((mark, frame)) = reader.next() {
            ledger.replay(mark, frame, &mut owed);
        }
        if bytes.len() < MAGIC.len() {
            ledger.file.set_len(0)?;
            ledger.file.write_all(MAGIC)?;
            ledger.written = MAGIC.len();
        } else {
            ledger.written = MAGIC.len() + reader.read();
            ledger.file.set_len(ledger.written as u64)?;
        }
        Ok((ledger, owed.into_values().collect()))
    }

    fn replay(&mut self, mark: Mark, frame: &[u8], owed: &mut BTreeMap<u64, Owed>) {
        let id = match &mark {
            Mark::Cold { target, since, usual } => return self.keep_cold(target, *since, *usual),
            Mark::Taken(taken) => {
                owed.insert(self.next, Owed::new(taken.clone().into_owned()));
                return self.keep(taken.id.to_string(), frame.to_vec());
            }
            Mark::Sent { id, .. } | Mark::Unrun { id } | Mark::Ended { id, .. } | Mark::Over { id } => id,
        };
        let Some(&place) = self.places.get(&**id) else { return };
        self.follow(place, &mark, frame);
        let event = owed.get_mut(&place).expect("kept with its frames");
        match mark {
            Mark::Sent { at, zone, .. } => {
                let earlier = event.was_out.replace((at, zone.into_owned()));
                event.may_have_run = event.may_have_run.take().or(earlier);
                event.sends += 1;
            }
            Mark::Unrun { .. } => event.was_out = None,
            Mark::Ended { outcome, come_back_after, .. } => event.ended = Some((outcome, come_back_after)),
            Mark::Over { .. } => drop(owed.remove(&place)),
            Mark::Taken(_) | Mark::Cold { .. } => (), // seen above
        }
    }

    fn keep(&mut self, id: String, frames: Vec<u8>) {
        let reserved = frames.len() + MARKS;
        self.live += reserved;
        self.places.insert(id.clone(), self.next);
        self.events.insert(self.next, Kept { id, frames, reserved });
        self.next += 1;
    }

    fn keep_cold(&mut self, target: &str, since: f64, usual: f64) {
        if self.cold.insert(target.to_owned(), (since, usual)).is_none() {
            self.live += NOTE;
        }
    }

    /// What a mark of an event does to its frames.
    fn follow(&mut self, place: u64, mark: &Mark, frame: &[u8]) {
        let kept = self.events.get_mut(&place).expect("kept with its place");
        self.live -= kept.reserved;
        if let Mark::Over { .. } = mark {
            self.places.remove(&kept.id);
            self.events.remove(&place);
            return;
        }
        if let (Mark::Ended { .. }, Some((Mark::Taken(taken), _))) = (mark, Reader::new(&kept.frames).next())
        {
            // Its body and sends are not needed any more; its place among those of its key is.
            let mut short = Vec::new();
            Mark::Taken(Taken { body: Cow::default(), fingerprint: None, ..taken }).write(&mut short);
            (kept.reserved, kept.frames) = (short.len() + MARKS, short);
        }
        self.live += kept.reserved;
        kept.frames.extend_from_slice(frame);
    }

    fn mark(&mut self, id: &str, mark: Mark) {
        let Some(&place) = self.places.get(id) else { return };
        let mut frame = Vec::new();
        mark.write(&mut frame);
        self.pending.extend_from_slice(&frame);
        self.follow(place, &mark, &frame);
    }

    /// Whether an event with that body still fits.
    pub fn has_room_for(&self, body: usize) -> bool {
        ((self.live + body + 2 * MARKS) as f64) < self.most as f64 * LIVE
    }

    pub fn holds(&self, id: &str) -> bool {
        self.places.contains_key(id)
    }

    pub fn taken(&mut self, taken: Taken) {
        let id = taken.id.to_string();
        let mut frame = Vec::new();
        Mark::Taken(taken).write(&mut frame);
        self.pending.extend_from_slice(&frame);
        self.keep(id, frame);
    }

    pub fn sent(&mut self, id: &str, at: f64, zone: &str) {
        self.mark(id, Mark::Sent { id: id.into(), at, zone: zone.into() });
    }

    /// The last send surely did not run.
    pub fn unrun(&mut self, id: &str) {
        self.mark(id, Mark::Unrun { id: id.into() });
    }

    /// A notice is owed from now on, and nothing else.
    pub fn ended(&mut self, id: &str, outcome: Outcome, come_back_after: Option<f64>) {
        self.mark(id, Mark::Ended { id: id.into(), outcome, come_back_after });
    }

    /// Nothing more is owed.
    pub fn over(&mut self, id: &str) {
        self.mark(id, Mark::Over { id: id.into() });
    }

    pub fn note_cold(&mut self, target: &str, since: f64, usual: f64) {
        Mark::Cold { target: target.into(), since, usual }.write(&mut self.pending);
        self.keep_cold(target, since, usual);
    }

    /// The targets that were noted as cold, since when, and what usually went there a second.
    pub fn cold(&self) -> impl Iterator<Item = (&str, f64, f64)> {
        self.cold.iter().map(|(target, (since, usual))| (target.as_str(), *since, *usual))
    }

    /// The target is gone for good, and what was noted of it.
    pub fn forget_target(&mut self, target: &str) {
        if self.cold.remove(target).is_some() {
            self.live -= NOTE;
        }
    }

    /// All targets but those that are `kept` are gone for good.
    pub fn forget_targets(&mut self, kept: impl Fn(&str) -> bool) {
        let before = self.cold.len();
        self.cold.retain(|target, _| kept(target));
        self.live -= NOTE * (before - self.cold.len());
    }

    /// Written by a process that takes over, before it decides anything: whoever wrote before sees that the
    /// record has grown, and stops. It says that an event without an id is over, which every text that reads
    /// the record passes over.
    pub fn change_owner(&mut self) -> io::Result<()> {
        Mark::Over { id: "".into() }.write(&mut self.pending);
        // Never written anew here: who wrote before would go on in a file that is not there any more.
        self.append()
    }

    /// What is written, in bytes.
    pub fn length(&self) -> u64 {
        self.written as u64
    }

    /// Writes what was marked since the last call; it outlasts the process from now on.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        if (self.written + self.pending.len()) as f64 > self.most as f64 * REWRITE {
            return self.rewrite();
        }
        self.append()
    }

    fn append(&mut self) -> io::Result<()> {
        if let Err(e) = self.file.write_all(&self.pending) {
            // Half a frame would hide all that follows it.
            self.file.set_len(self.written as u64)?;
            return Err(e);
        }
        self.written += self.pending.len();
        self.pending.clear();
        Ok(())
    }

    fn rewrite(&mut self) -> io::Result<()> {
        let (path, new) = (self.folder.join("ledger"), self.folder.join("ledger.new"));
        let mut bytes = MAGIC.to_vec();
        self.events.values().for_each(|kept| bytes.extend_from_slice(&kept.frames));
        for (target, &(since, usual)) in &self.cold {
            Mark::Cold { target: target.as_str().into(), since, usual }.write(&mut bytes);
        }
        let _ = fs::remove_file(&new);
        let mut file = OpenOptions::new().create_new(true).append(true).open(&new)?;
        file.write_all(&bytes)?;
        fs::rename(&new, &path)?;
        self.file = file;
        self.written = bytes.len();
        self.pending.clear();
        Ok(())
    }
}

/// Whether the record in the folder has another length than it had: another process writes it.
pub fn has_grown(folder: &Path, length: u64) -> io::Result<bool> {
    Ok(fs::metadata(folder.join("ledger"))?.len() != length)
}

impl Owed {
    fn new(taken: Taken<'static>) -> Self {
        Owed { taken, sends: 0, may_have_run: None, was_out: None, ended: None }
    }
}
