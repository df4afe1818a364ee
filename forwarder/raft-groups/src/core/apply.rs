//! What is committed, told to the machine in the log's order.

use raft::eraftpb::{Entry, EntryType, Snapshot};

use super::effects::{Base, Effects, Voters};
use super::stamp::{Stamp, Whole};
use super::{Core, Fault};
use crate::{GroupEvent, Purpose, Term};

impl Core {
    pub(super) fn apply_entry(&mut self, entry: Entry, out: &mut Effects) {
        let term = Term(entry.term);
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() && entry.context.is_empty() => {
                self.open.decided(entry.index, term);
                self.begins_to_lead(term, out);
            }
            EntryType::EntryNormal => {
                match Stamp::read(&entry.context) {
                    Some(Stamp::Command {
                        proposer,
                        term: own,
                        number,
                    }) if own == term => {
                        self.counted.note(proposer, term, number);
                        self.machine.apply(proposer, term, &entry.data);
                        if self.purpose == Purpose::Control {
                            let command = entry.data.to_vec();
                            out.news.push(GroupEvent::Applied {
                                proposer,
                                term,
                                command,
                            });
                        }
                    }
                    Some(Stamp::Dissolve { term: own }) if own == term => self.dissolved = true,
                    // Proposed by an earlier owner: void, on every instance alike.
                    _ => {}
                }
                self.open.decided(entry.index, term);
            }
            EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => {
                self.apply_change(&entry.context);
                self.changed = entry.index;
                self.open.decided(entry.index, term);
            }
        }
    }

    /// The first entry of its own term is applied: all that can ever count from before is in the machine.
    fn begins_to_lead(&mut self, term: Term, out: &mut Effects) {
        if self.led_term() != Some(term) || self.leads.is_some() {
            return;
        }
        self.leads = Some(term);
        let state = self.machine.snapshot();
        // Answers to what it proposed in an earlier term come before.
        self.open.answers(self.group, &mut out.news);
        out.news.push(GroupEvent::Elected {
            group: self.group,
            purpose: self.purpose,
            term,
            state,
        });
    }

    /// A leader's state came in place of the log.
    pub(super) fn replaced(&mut self, base: Base, out: &mut Effects) {
        let whole: Option<Whole> = postcard::from_bytes(&base.whole).ok();
        let Some(whole) = whole else {
            return self.fail(Fault::Torn);
        };
        if self.machine.restore(&whole.machine).is_err() {
            return self.fail(Fault::Torn);
        }
        self.open
            .replaced(self.me, base.index, Term(base.term), &whole.counted);
        self.counted = whole.counted;
        self.dissolved = whole.dissolved;
        self.applied = base.index;
        if self.purpose == Purpose::Control {
            out.news.push(GroupEvent::SnapshotInstalled {
                state: whole.machine,
            });
        }
    }

    /// The state up to what was applied.
    pub(super) fn base(&self) -> Base {
        let machine = self.machine.snapshot();
        let whole = Whole {
            counted: self.counted.clone(),
            dissolved: self.dissolved,
            machine,
        };
        let store = self.node.store();
        Base {
            index: self.applied,
            term: raft::Storage::term(store, self.applied).unwrap_or_default(),
            voters: Voters::from(&store.conf),
            whole: postcard::to_stdvec(&whole).unwrap_or_default(),
        }
    }

    /// Made only when a voter is too far behind for the log, and dropped once it has it.
    pub(super) fn serve_snapshots(&mut self) {
        if self.node.store().wanted() {
            let base = self.base();
            let mut snapshot = Snapshot {
                data: base.whole.into(),
                ..Snapshot::default()
            };
            let meta = snapshot.mut_metadata();
            meta.index = base.index;
            meta.term = base.term;
            meta.set_conf_state(base.voters.into());
            self.node.mut_store().snapshot = Some(snapshot);
        }
    }

    /// The machine's state as a whole, for one that begins to listen.
    pub fn state(&self) -> Vec<u8> {
        self.machine.snapshot()
    }
}
