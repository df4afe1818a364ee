//! What happened before this process: attempts of an earlier process, and of another forwarder
//! whose events this one took over. The host restores them from its event log, right after it
//! accepts the events anew.

use super::context::Draw;
use super::Scheduler;
use crate::interface::{EventId, Ms, TargetId, ZoneId};
use crate::state::{PossibleExecution, RecordedRate};

impl Scheduler {
    /// What an earlier process did for an event that was just accepted anew: its attempts, and when
    /// and in which zone the first one was made that may have run. `was_in_flight`: the last
    /// attempt has no known outcome and may have run, so that the event's order key cools down.
    pub fn restore_attempts(
        &mut self,
        id: &EventId,
        attempts: u32,
        may_have_run: Option<(Ms, ZoneId)>,
        was_in_flight: bool,
    ) {
        let mut order_key = None;
        self.update_event(id, |event| {
            event.attempts = attempts;
            event.may_have_run = may_have_run.map(PossibleExecution::from);
            event.restored_unattempted = attempts == 0;
            order_key = event.order_key;
        });
        if let (Some(order_key), true) = (order_key, was_in_flight) {
            self.cool_down_key(order_key);
        }
    }

    /// The event was completed by an earlier process, and its notification may not have been
    /// acknowledged.
    pub fn restore_completed(&mut self, id: &EventId) {
        self.update_event(id, |event| {
            event.is_complete = true;
            event.awaits_acknowledgement = true;
        });
    }

    /// An earlier process recorded that the target's lane warms up since the time `since`, and that
    /// `usual_rate` calls a second usually go there: the backlog must not push over a destination
    /// that comes back.
    pub fn restore_warm_up(&mut self, target: &TargetId, since: Ms, usual_rate: f64) {
        let Some(destination_id) = self.destination_of_target.get(target) else {
            return;
        };
        let Some(destination) = self.destinations.get_mut(destination_id) else {
            return;
        };
        let context = &mut self.context;
        let lane_index = destination
            .lane_of(target)
            .expect("a target that is mapped to a destination is in it");
        destination.lanes[lane_index].begin_warm_up(since);
        destination.usual_before_warm_up = RecordedRate {
            calls_per_second: usual_rate,
            recorded_at: context.now,
        };
        // Many forwarders restart together: their first calls are spread as those after a health
        // check.
        let spacing = destination.call_spacing(context, lane_index);
        let spread = spacing.min(destination.health_check_interval(context, lane_index));
        let first_call_delay = spread * context.draw(Draw::FirstCallAfterRestart);
        destination.lanes[lane_index].next_call_at = context.now + first_call_delay;
    }

    /// A call of the event, made by the forwarder that owned the event before, may be in flight
    /// until then. Neither the event nor the next one of its order key is attempted before; an
    /// event that may not be retried is completed at once, as after a restart.
    pub fn defer_for_remote_attempt(&mut self, id: &EventId, until: Ms) {
        let mut order_key = None;
        self.update_event(id, |event| {
            event.not_before = event.not_before.max(until);
            order_key = event.order_key;
        });
        if let Some(order_key) = order_key {
            self.cool_down_key_until(order_key, until);
        }
    }

    /// The event was accepted and attempted at another forwarder too. One id is one event: the
    /// attempts add up, and the first that may have run counts. With a call in flight the event
    /// waits for its outcome; otherwise what follows is decided in this iteration.
    pub fn merge_remote_attempts(
        &mut self,
        id: &EventId,
        attempts: u32,
        may_have_run: Option<(Ms, ZoneId)>,
    ) {
        self.update_event(id, |event| {
            event.attempts += attempts;
            let remote = may_have_run.map(PossibleExecution::from);
            event.may_have_run = match (event.may_have_run, remote) {
                (Some(here), Some(there)) => Some(here.earlier_of(there)),
                (here, there) => here.or(there),
            };
        });
    }
}

impl From<(Ms, ZoneId)> for PossibleExecution {
    fn from((sent_at, zone): (Ms, ZoneId)) -> Self {
        PossibleExecution { sent_at, zone }
    }
}

impl PossibleExecution {
    /// The earlier of the two; this one, if both were sent at the same time.
    fn earlier_of(self, other: PossibleExecution) -> PossibleExecution {
        if other.sent_at.total_cmp(&self.sent_at).is_lt() {
            other
        } else {
            self
        }
    }
}
