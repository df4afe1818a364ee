//! What an instance has of a group.

use raft::eraftpb::Entry;

use super::effects::{Base, Hard, Persist, Voters};
use super::stamp::{Counted, Whole};
use crate::{Incarnation, StateMachine};

/// What an instance has of a group: made anew, or read from its disk.
#[derive(Debug, Default)]
pub struct Kept {
    pub base: Base,
    pub hard: Hard,
    pub entries: Vec<Entry>,
    /// It may have promised something in an earlier life of this process.
    pub restarted: bool,
}

impl Kept {
    /// As each founding voter makes it: the same on all.
    pub fn founded(voters: &[Incarnation], machine: &dyn StateMachine) -> Self {
        let whole = Whole {
            counted: Counted::default(),
            dissolved: false,
            machine: machine.snapshot(),
        };
        let voters = Voters {
            voters: voters.iter().map(|v| v.0).collect(),
            ..Default::default()
        };
        let whole = postcard::to_stdvec(&whole).unwrap_or_default();
        Kept {
            base: Base {
                index: 1,
                term: 1,
                voters,
                whole,
            },
            hard: Hard {
                term: 1,
                vote: 0,
                commit: 1,
            },
            ..Default::default()
        }
    }
    /// What the disk holds once it was handed `persist`.
    pub fn take(&mut self, persist: Persist) {
        let Persist {
            number: _,
            hard,
            entries,
            base,
        } = persist;
        self.hard = hard.unwrap_or(self.hard);
        if let Some(base) = base {
            self.base = base;
            self.entries.clear();
        }
        if let Some(first) = entries.first() {
            let keep = first.index.saturating_sub(self.base.index + 1) as usize;
            self.entries.truncate(keep);
            self.entries.extend(entries);
        }
    }
}
