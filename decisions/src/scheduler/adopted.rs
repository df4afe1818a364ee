//! Events of a record that another forwarder owned and this one goes on with.

use super::*;

impl Scheduler {
    /// A call of the event, made where it was held before, may be out until then. Neither it nor the next of
    /// its key is sent before; one that may not be sent again is given up at once, as after a restart.
    pub fn defer_for_remote_attempt(&mut self, id: &EventId, until: Ms) {
        let mut key = None;
        self.settle(id, |event| {
            (event.not_before, key) = (event.not_before.max(until), event.key)
        });
        key.into_iter().for_each(|key| self.rests_until(key, until));
    }

    /// It was held and sent at another forwarder too: one id is one event, and what was done on both sides
    /// adds up. With a call out it waits for that one's outcome; else what follows is decided this round.
    pub fn merge_remote_attempts(
        &mut self,
        id: &EventId,
        sends: u32,
        may_have_run: Option<(Ms, ZoneId)>,
    ) {
        self.settle(id, |event| {
            event.sends += sends;
            let both = event.may_have_run.into_iter().chain(may_have_run);
            event.may_have_run = both.min_by(|one, other| one.0.total_cmp(&other.0));
        });
    }
}
