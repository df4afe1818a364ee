//! Ends of copies of broadcasts that were never handed in.

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{AcceptedEvent, Outcome};

use super::hands::Hands;
use crate::notices;

impl Hands {
    /// Notes the end and tells it, if there is room now; it comes again until it was heard. The module knows
    /// of it as of an event that an earlier process ended: the next of its key waits for it.
    pub(super) fn tells(
        &mut self,
        to: &mut Scheduler,
        taken: AcceptedEvent<'static>,
        end: Outcome,
    ) {
        let id = EventId(taken.id.as_ref().into());
        let waiting = self.unheard + self.notices.len() + self.held.len();
        let known = self.keeps.holds(&id) || self.out.contains(&id);
        if known || waiting + 1 >= notices::MAILBOX || !self.keeps.has_room_for(0) {
            return;
        }
        self.keeps.taken(taken.clone());
        if self.enter(to, &taken) {
            to.restore_completed(&id);
        }
        self.ended(&id, end, None);
    }
}
