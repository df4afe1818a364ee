//! Where the record of what was taken on is kept: a file of this forwarder, or the groups that it leads.

use plankhill_decisions::interface::*;
use plankhill_event_log::{AcceptedEvent, EventLog, EventTable, Outcome};
use plankhill_raft_groups::GroupId;

use super::copies::Copies;

pub(super) enum Keeps {
    File(Box<EventLog>),
    Copies(Box<Copies>),
}

impl Keeps {
    /// The records that hold the event: two where an adopted one met one held here.
    fn each(&mut self, event: &EventId, mark: impl Fn(&mut EventTable)) {
        match self {
            Keeps::File(ledger) => mark(ledger),
            Keeps::Copies(copies) => copies
                .books
                .values_mut()
                .filter(|book| book.contains(&event.0))
                .for_each(mark),
        }
    }

    pub(super) fn holds(&self, event: &EventId) -> bool {
        match self {
            Keeps::File(ledger) => ledger.contains(&event.0),
            Keeps::Copies(copies) => copies.books.values().any(|book| book.contains(&event.0)),
        }
    }

    /// The groups whose record holds the event; none where it is in a file.
    pub(super) fn groups_of(&self, event: &EventId) -> Vec<GroupId> {
        match self {
            Keeps::File(_) => Vec::new(),
            Keeps::Copies(copies) => copies.holders(event),
        }
    }

    pub(super) fn has_room_for(&self, body: usize) -> bool {
        match self {
            Keeps::File(ledger) => ledger.has_capacity_for(body),
            Keeps::Copies(copies) => copies.has_room_for(body),
        }
    }

    /// Whether events of the key are owed elsewhere that have to come before.
    pub(super) fn is_behind(&self, key: OrderKey) -> bool {
        match self {
            Keeps::File(_) => false,
            Keeps::Copies(copies) => copies.is_behind(key),
        }
    }

    pub(super) fn taken(&mut self, taken: AcceptedEvent) {
        match self {
            Keeps::File(ledger) => ledger.accept(taken),
            Keeps::Copies(copies) => {
                copies
                    .own_book()
                    .into_iter()
                    .for_each(|book| book.accept(taken.clone()));
            }
        }
    }

    pub(super) fn sent(&mut self, event: &EventId, at: Ms, zone: &str, time_out: Ms) {
        match self {
            Keeps::File(ledger) => ledger.record_attempt(&event.0, at, zone),
            Keeps::Copies(_) => self.each(event, |book| {
                book.record_attempt_with_timeout(&event.0, at, zone, time_out)
            }),
        }
    }

    pub(super) fn unrun(&mut self, event: &EventId) {
        self.each(event, |book| book.record_attempt_not_executed(&event.0));
    }

    pub(super) fn ended(&mut self, event: &EventId, outcome: Outcome, come_back_after: Option<Ms>) {
        self.each(event, |book| {
            book.record_outcome(&event.0, outcome, come_back_after)
        });
    }

    pub(super) fn over(&mut self, event: &EventId) {
        self.each(event, |book| book.complete(&event.0));
    }

    pub(super) fn note_cold(&mut self, target: &TargetId, since: Ms, usual: f64) {
        match self {
            Keeps::File(ledger) => ledger.record_warm_up(&target.0, since, usual),
            Keeps::Copies(copies) => {
                copies
                    .own_book()
                    .into_iter()
                    .for_each(|book| book.record_warm_up(&target.0, since, usual));
            }
        }
    }

    pub(super) fn forget_target(&mut self, target: &TargetId) {
        match self {
            Keeps::File(ledger) => ledger.remove_target(&target.0),
            Keeps::Copies(copies) => copies
                .books
                .values_mut()
                .for_each(|book| book.record_warm_up_end(&target.0)),
        }
    }

    /// All targets but those that are `kept` are gone for good. Of copies it is asked as they come in.
    pub(super) fn forget_targets(&mut self, kept: impl Fn(&str) -> bool) {
        if let Keeps::File(ledger) = self {
            ledger.retain_targets(kept);
        }
    }

    /// The file's length in bytes.
    pub(super) fn length(&self) -> u64 {
        match self {
            Keeps::File(ledger) => ledger.file_length(),
            Keeps::Copies(_) => 0,
        }
    }

    /// Writes down what was taken, before the round decides. Copies go out with all that the round marks.
    pub(super) fn commit(&mut self) -> std::io::Result<()> {
        match self {
            Keeps::File(ledger) => ledger.commit(),
            Keeps::Copies(_) => Ok(()),
        }
    }

    pub(super) fn file(&self) -> Option<&EventLog> {
        match self {
            Keeps::File(ledger) => Some(ledger),
            Keeps::Copies(_) => None,
        }
    }

    pub(super) fn copies(&mut self) -> Option<&mut Copies> {
        match self {
            Keeps::File(_) => None,
            Keeps::Copies(copies) => Some(copies),
        }
    }
}
