//! Targets that operators have disabled. A target stays disabled until it is enabled, regardless of
//! the endpoint list: the listed state of a disabled target is overridden before it is passed to the
//! scheduler.
//!
//! Owned by the server's event loop, which records each change in the state folder (file `bans`)
//! before the change takes effect.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

use plankhill_decisions::interface::{EndpointState, TargetId};

type Id = Rc<str>;

/// Number of formerly listed ids that are retained, the latest ones: enough for several replacements
/// of every target of a large list.
pub const MAX_FORMERLY_LISTED: usize = 16_384;
/// First line of the record: its format and version.
const FORMAT_LINE: &str = "plankhill bans 1";

/// The direction in which an operator switches a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetSwitch {
    /// No new requests are sent to the target.
    Disable,
    /// The target may serve again.
    Enable,
}

/// The change of the record that switching a target requires.
#[derive(Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// No target with that id was ever listed.
    NeverListed,
    /// The target is already in the requested state.
    Unchanged,
    /// The new record, to be written before [`DisabledTargets::apply`].
    Record(String),
}

/// The record cannot be read, so that the disabled targets are unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CorruptRecord {
    /// The last line is not a checksum.
    #[error("the record of targets left out is damaged: it has no checksum")]
    NoChecksum,
    /// The checksum does not match the text.
    #[error("the record of targets left out is damaged: its checksum differs")]
    ChecksumMismatch,
    /// The first line names another format.
    #[error("the record of targets left out is damaged: it has another form")]
    UnknownFormat,
}

/// The disabled targets, and the targets that an operator may name.
#[derive(Default)]
pub struct DisabledTargets {
    disabled: BTreeSet<Id>,
    /// The state of each target in the current endpoint list.
    listed: HashMap<Id, EndpointState>,
    /// Ids that were listed and no longer are.
    formerly_listed: HashSet<Id>,
    /// The formerly listed ids in the order of removal, the latest last.
    by_removal: VecDeque<Id>,
}

impl DisabledTargets {
    /// Parses a record: a line that names its format, one line for each id, and a line with the
    /// CRC-32 of all lines before it in hexadecimal.
    ///
    /// # Errors
    /// The record is truncated, changed or of another format.
    pub fn parse(record: &str) -> Result<DisabledTargets, CorruptRecord> {
        let last_line_start = record
            .trim_end_matches('\n')
            .rfind('\n')
            .ok_or(CorruptRecord::NoChecksum)?
            + 1;
        let (text, checksum) = record.split_at(last_line_start);
        let checksum =
            u32::from_str_radix(checksum.trim_end(), 16).map_err(|_| CorruptRecord::NoChecksum)?;
        if crc32fast::hash(text.as_bytes()) != checksum {
            return Err(CorruptRecord::ChecksumMismatch);
        }
        let mut lines = text.lines();
        if lines.next() != Some(FORMAT_LINE) {
            return Err(CorruptRecord::UnknownFormat);
        }
        Ok(DisabledTargets {
            disabled: lines.map(Id::from).collect(),
            ..Self::default()
        })
    }

    fn record<'a>(ids: impl Iterator<Item = &'a Id>) -> String {
        let mut text = format!("{FORMAT_LINE}\n");
        for id in ids {
            text.push_str(id);
            text.push('\n');
        }
        let checksum = crc32fast::hash(text.as_bytes());
        text.push_str(&format!("{checksum:08x}\n"));
        text
    }

    /// The change of the record that switching the target requires. Nothing is changed yet: the new
    /// record has to be written first.
    pub fn plan(&self, id: &str, switch: TargetSwitch) -> RecordChange {
        let is_disabled = self.is_disabled(id);
        let is_known =
            self.listed.contains_key(id) || self.formerly_listed.contains(id) || is_disabled;
        if !is_known {
            return RecordChange::NeverListed;
        }
        match switch {
            TargetSwitch::Disable if is_disabled => RecordChange::Unchanged,
            TargetSwitch::Disable => {
                RecordChange::Record(Self::record(self.disabled.iter().chain([&id.into()])))
            }
            TargetSwitch::Enable if is_disabled => {
                let remaining = self.disabled.iter().filter(|other| &***other != id);
                RecordChange::Record(Self::record(remaining))
            }
            TargetSwitch::Enable => RecordChange::Unchanged,
        }
    }

    /// Switches the target. Returns the target's state for the scheduler, if the target is in the
    /// endpoint list.
    pub fn apply(&mut self, id: &str, switch: TargetSwitch) -> Option<EndpointState> {
        match switch {
            TargetSwitch::Disable => self.disabled.insert(id.into()),
            TargetSwitch::Enable => self.disabled.remove(id),
        };
        let state = *self.listed.get(id)?;
        Some(self.effective_state(id, state))
    }

    /// Whether the target is disabled.
    pub fn is_disabled(&self, id: &str) -> bool {
        self.disabled.contains(id)
    }

    /// Ids of the disabled targets, in lexicographic order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.disabled.iter().map(|id| &**id)
    }

    /// Records the target's state in the endpoint list. Returns the state for the scheduler.
    pub fn on_listed(&mut self, TargetId(id): &TargetId, state: EndpointState) -> EndpointState {
        if self.formerly_listed.remove(id) {
            self.by_removal.retain(|other| other != id);
        }
        self.listed.insert(id.clone(), state);
        self.effective_state(id, state)
    }

    /// Records that the target was removed from the endpoint list.
    pub fn on_removed(&mut self, TargetId(id): &TargetId) {
        if self.listed.remove(id).is_some() {
            self.add_formerly_listed(id.clone());
        }
    }

    /// Ids that were listed and no longer are, for a successor process.
    pub fn formerly_listed(&self) -> impl Iterator<Item = &str> {
        self.by_removal.iter().map(|id| &**id)
    }

    /// Records an id that was listed earlier. Drops the oldest id beyond [`MAX_FORMERLY_LISTED`].
    pub fn add_formerly_listed(&mut self, id: Id) {
        if self.listed.contains_key(&id) || !self.formerly_listed.insert(id.clone()) {
            return;
        }
        self.by_removal.push_back(id);
        while self.by_removal.len() > MAX_FORMERLY_LISTED {
            if let Some(oldest) = self.by_removal.pop_front() {
                self.formerly_listed.remove(&oldest);
            }
        }
    }

    fn effective_state(&self, id: &str, state: EndpointState) -> EndpointState {
        match state {
            EndpointState::Running if self.is_disabled(id) => EndpointState::Draining,
            as_listed => as_listed,
        }
    }
}
