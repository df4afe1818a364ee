//! Which targets operators leave out. A ban lasts until it is lifted, whatever the list says meanwhile: the
//! list's word on a target is overlaid with it before the module hears it.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::fmt;
use std::rc::Rc;

use plankhill_decisions::interface::{EndpointState, TargetId};

type Id = Rc<str>;

/// Ids once listed are remembered, the latest this many: some replacements of every target of a large list.
const REMEMBERED: usize = 16_384;
const FIRST_LINE: &str = "plankhill bans 1";

#[derive(Default)]
pub struct Bans {
    banned: BTreeSet<Id>,
    /// What the list says now.
    listed: HashMap<Id, EndpointState>,
    /// Ids that were listed and are not any more, the latest last.
    gone: HashSet<Id>,
    by_leaving: VecDeque<Id>,
}

/// What an order changes.
#[derive(Debug, PartialEq, Eq)]
pub enum Change {
    /// No target was ever listed under that id.
    NeverListed,
    /// It is so already.
    Nothing,
    /// It is to be recorded in this form before it is done.
    Record(String),
}

/// The record can't be read, and says nothing of which bans there are.
#[derive(Debug, PartialEq, Eq)]
pub struct Damaged(pub &'static str);

impl fmt::Display for Damaged {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "the record of targets left out is damaged: {}", self.0)
    }
}

impl Bans {
    /// Reads a record: a line of its form, an id a line, and a line with the checksum of all before it.
    pub fn read(record: &str) -> Result<Bans, Damaged> {
        let cut = record
            .trim_end_matches('\n')
            .rfind('\n')
            .ok_or(Damaged("it has no checksum"))?;
        let (text, sum) = record.split_at(cut + 1);
        let sum =
            u32::from_str_radix(sum.trim_end(), 16).map_err(|_| Damaged("it has no checksum"))?;
        if crc32fast::hash(text.as_bytes()) != sum {
            return Err(Damaged("its checksum differs"));
        }
        let mut lines = text.lines();
        if lines.next() != Some(FIRST_LINE) {
            return Err(Damaged("it has another form"));
        }
        Ok(Bans {
            banned: lines.map(Id::from).collect(),
            ..Bans::default()
        })
    }

    fn record<'a>(ids: impl Iterator<Item = &'a Id>) -> String {
        let mut text = format!("{FIRST_LINE}\n");
        ids.for_each(|id| text.extend([id, "\n"]));
        text += &format!("{:08x}\n", crc32fast::hash(text.as_bytes()));
        text
    }

    /// What is to be recorded before [`Bans::set`].
    pub fn change(&self, id: &str, ban: bool) -> Change {
        let known = self.listed.contains_key(id) || self.gone.contains(id) || self.holds(id);
        match (known, self.holds(id) == ban) {
            (false, _) => Change::NeverListed,
            (true, true) => Change::Nothing,
            (true, false) if ban => {
                Change::Record(Self::record(self.banned.iter().chain([&id.into()])))
            }
            (true, false) => Change::Record(Self::record(
                self.banned.iter().filter(|other| &***other != id),
            )),
        }
    }

    /// Bans the target or lifts its ban; what the module is to hear of it, if the list names it.
    pub fn set(&mut self, id: &str, ban: bool) -> Option<EndpointState> {
        match ban {
            true => self.banned.insert(id.into()),
            false => self.banned.remove(id),
        };
        self.listed
            .get(id)
            .map(|listing| self.overlaid(id, *listing))
    }

    pub fn holds(&self, id: &str) -> bool {
        self.banned.contains(id)
    }

    /// The ids that are left out.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.banned.iter().map(|id| &**id)
    }

    /// The list names the target; what the module is to hear.
    pub fn listed(&mut self, TargetId(id): &TargetId, listing: EndpointState) -> EndpointState {
        if self.gone.remove(id) {
            self.by_leaving.retain(|other| other != id);
        }
        self.listed.insert(id.clone(), listing);
        self.overlaid(id, listing)
    }

    /// The list names the target no more.
    pub fn left(&mut self, TargetId(id): &TargetId) {
        if self.listed.remove(id).is_some() {
            self.remember(id.clone());
        }
    }

    /// Ids that were listed and are not, for the process that takes over.
    pub fn remembered(&self) -> impl Iterator<Item = &str> {
        self.by_leaving.iter().map(|id| &**id)
    }

    /// The id was listed at some time.
    pub fn remember(&mut self, id: Id) {
        if self.listed.contains_key(&id) || !self.gone.insert(id.clone()) {
            return;
        }
        self.by_leaving.push_back(id);
        while self.by_leaving.len() > REMEMBERED {
            self.by_leaving
                .pop_front()
                .map(|oldest| self.gone.remove(&oldest));
        }
    }

    fn overlaid(&self, id: &str, listing: EndpointState) -> EndpointState {
        match listing {
            EndpointState::Running if self.holds(id) => EndpointState::Draining,
            as_told => as_told,
        }
    }
}
