//! From raft's node to the disk, the links and the loop. What a voter says waits for the disk; what a leader
//! sends may overtake it, since its own voice counts only once its disk has acknowledged.

use raft::eraftpb::Entry;
use raft::StateRole;

use super::effects::{Base, Effects, Hard, Persist};
use super::stamp::Stamp;
use super::{Core, Fault};
use crate::{GroupEvent, Term};

/// A log above this many bytes is cut; above twice the machine's size, if that is more, so that writing states
/// costs no more than writing the log.
const CUT_ABOVE: usize = 4 << 20;
/// Bytes of a file that are not worth a cut.
const SMALL: u64 = 64 << 10;
const MOST_ENTRIES: usize = 1 << 16;

impl Core {
    pub(super) fn drain(&mut self, out: &mut Effects) {
        self.watch_the_lead(out);
        while self.fault.is_none() && self.node.has_ready() {
            let mut ready = self.node.ready();
            out.send.extend(ready.take_messages());
            let mut base = None;
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot();
                let meta = snapshot.get_metadata();
                let voters = meta.get_conf_state().clone();
                self.node
                    .mut_store()
                    .restore(meta.index, meta.term, voters.clone());
                let whole = snapshot.data.to_vec();
                base = Some(Base {
                    index: meta.index,
                    term: meta.term,
                    voters: (&voters).into(),
                    whole,
                });
            }
            self.node.mut_store().append(ready.entries());
            let hard = ready.hs().map(|hs| Hard {
                term: hs.term,
                vote: hs.vote,
                commit: hs.commit,
            });
            let before = self.hard;
            self.hard = hard.unwrap_or(before);
            // What is committed is learnt anew from the others: it alone is no reason to write.
            let vote = (before.term, before.vote) != (self.hard.term, self.hard.vote);
            let written = vote || base.is_some() || !ready.entries().is_empty();
            if written {
                let number = ready.number();
                let entries = ready.take_entries();
                out.persist.push(Persist {
                    number,
                    hard: Some(self.hard),
                    entries,
                    base: base.clone(),
                });
            }
            self.waiting
                .push_back((ready.number(), written, ready.take_persisted_messages()));
            for read in ready.take_read_states() {
                self.heard_by_a_majority(&read.request_ctx);
            }
            let committed = ready.take_committed_entries();
            self.node.advance_append_async(ready);
            if let Some(base) = base {
                self.replaced(base, out);
            }
            self.apply(committed, out);
            self.release(out);
            self.watch_the_lead(out);
            self.serve_snapshots();
            self.cut(out);
        }
        self.open.answers(self.group, &mut out.news);
    }

    /// Hands out the messages that wait for nothing any more.
    pub(super) fn release(&mut self, out: &mut Effects) {
        let mut reached = 0;
        while let Some((number, written, _)) = self.waiting.front() {
            if *written && *number > self.synced {
                break;
            }
            reached = *number;
            if let Some((_, _, messages)) = self.waiting.pop_front() {
                out.send.extend(messages);
            }
        }
        if reached > 0 {
            self.node.on_persist_ready(reached);
            if self.node.raft.raft_log.persisted >= self.applied && self.applied > 0 {
                self.node.advance_apply_to(self.applied);
            }
        }
    }

    fn apply(&mut self, entries: Vec<Entry>, out: &mut Effects) {
        for entry in entries {
            let index = entry.index;
            self.apply_entry(entry, out);
            self.applied = index;
        }
        if self.node.raft.raft_log.persisted >= self.applied && self.applied > 0 {
            self.node.advance_apply_to(self.applied);
        }
    }

    /// What raft's role says: a lead that ended is told at once and holds no longer.
    pub(super) fn watch_the_lead(&mut self, out: &mut Effects) {
        let leading = self.node.raft.state == StateRole::Leader;
        let same_term = self.leads.is_none_or(|term| term.0 == self.node.raft.term);
        if self.led && !leading {
            // It was its own giver: the promise to itself lasts like any other's.
            self.heard = 0;
        }
        self.led = leading;
        if !leading || !same_term {
            self.step_down(out);
        }
    }

    pub(super) fn step_down(&mut self, out: &mut Effects) {
        self.lease = 0.0;
        self.beats.clear();
        if self.leads.take().is_some() {
            out.news.push(GroupEvent::Deposed { group: self.group });
        }
    }

    /// A heartbeat that a majority has to answer with its number.
    pub(super) fn ask_to_hold(&mut self, now: f64) {
        self.beat += 1;
        self.beats.push_back((self.beat, now));
        self.node.read_index(self.beat.to_le_bytes().to_vec());
        if self.beats.len() > 4 * self.pace.election as usize {
            self.beats.pop_front();
        }
    }

    fn heard_by_a_majority(&mut self, context: &[u8]) {
        let Ok(beat) = context.try_into().map(u64::from_le_bytes) else {
            return;
        };
        while let Some((number, sent)) = self
            .beats
            .front()
            .copied()
            .filter(|(number, _)| *number <= beat)
        {
            self.beats.pop_front();
            if number == beat && self.leads.is_some() {
                self.lease = self.lease.max(sent + self.pace.lease);
            }
        }
    }

    pub(super) fn on_proposed(&mut self, number: u64, command: Vec<u8>) {
        let Some(term) = self.leads.filter(|_| !self.open.is_full()) else {
            return self.open.refused(number);
        };
        let stamp = Stamp::Command {
            proposer: self.me,
            term,
            number,
        };
        match self.node.propose(stamp.bytes(), command) {
            Ok(()) => self
                .open
                .appended(number, self.node.raft.raft_log.last_index(), term),
            Err(_) => self.open.refused(number),
        }
    }

    /// The log is cut where it grew over its bound: the state up to what was applied stands in its place.
    fn cut(&mut self, out: &mut Effects) {
        let (entries, bytes) = self.node.store().held();
        let limit = CUT_ABOVE.max(2 * self.machine.size());
        let cut = self.node.store().cut_at().0;
        if (bytes <= limit && entries <= MOST_ENTRIES) || self.applied <= cut {
            return;
        }
        self.cut_log(out);
    }

    /// Cuts what is worth it, where room is short: `on_disk` bytes are taken there.
    pub fn cut_early(&mut self, on_disk: u64, out: &mut Effects) {
        let size = self.machine.size();
        let worth = self.node.store().held().1 > size / 2 || on_disk > 2 * size as u64 + SMALL;
        if self.fault.is_none() && worth && self.applied > self.node.store().cut_at().0 {
            self.cut_log(out);
        }
    }

    fn cut_log(&mut self, out: &mut Effects) {
        let base = self.base();
        self.node.mut_store().cut(self.applied);
        let entries = self.node.store().after(self.applied);
        out.persist.push(Persist {
            number: 0,
            hard: Some(self.hard),
            entries,
            base: Some(base),
        });
    }

    pub(super) fn fail(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// Raft's own term of the lead, if it leads.
    pub(super) fn led_term(&self) -> Option<Term> {
        (self.node.raft.state == StateRole::Leader).then_some(Term(self.node.raft.term))
    }
}
