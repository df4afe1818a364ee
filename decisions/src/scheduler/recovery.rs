//! Recovery of earlier attempts: those of an earlier process, and those of another forwarder whose
//! events this one took over. The host restores them from its event log, right after it accepts the
//! events again.

use super::context::Draw;
use super::Scheduler;
use crate::interface::{EventId, Ms, TargetId, ZoneId};
use crate::state::{PossibleExecution, RecordedRate};

impl Scheduler {
    /// Restores the attempts that an earlier process made for an event that was just accepted
    /// again: their number, and the time and zone of the first one that may have run.
    /// `was_in_flight` is true if the last attempt has no known outcome and may have run; the
    /// event's order key then cools down.
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

    /// Restores an event that an earlier process completed, and whose notification may not have
    /// been acknowledged.
    pub fn restore_completed(&mut self, id: &EventId) {
        self.update_event(id, |event| {
            event.is_complete = true;
            event.awaits_acknowledgement = true;
        });
    }

    /// Restores a warm-up that an earlier process recorded: the target's lane has been warming up
    /// since the time `since`, and its usual rate is `usual_rate` calls per second. Otherwise, the
    /// backlog could overload a destination that is recovering.
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
        // Many forwarders restart together, so their first calls are spread like those after a
        // health check.
        let spacing = destination.call_spacing(context, lane_index);
        let spread = spacing.min(destination.health_check_interval(context, lane_index));
        let first_call_delay = spread * context.draw(Draw::FirstCallAfterRestart);
        destination.lanes[lane_index].next_call_at = context.now + first_call_delay;
    }

    /// Defers an event because a call by the forwarder that owned it before may be in flight until
    /// `until`. Neither the event nor the next one of its order key is attempted before that time.
    /// An event that may not be retried is completed at once, as after a restart.
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

    /// Merges the attempts of an event that another forwarder accepted and attempted as well. An id
    /// identifies one event: the attempts are added up, and the earliest one that may have run
    /// counts. While a call is in flight, the event waits for its outcome; otherwise, the next step
    /// is decided in this iteration.
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
    /// Returns the earlier of the two, or `self` if both were sent at the same time.
    fn earlier_of(self, other: PossibleExecution) -> PossibleExecution {
        if other.sent_at.total_cmp(&self.sent_at).is_lt() {
            other
        } else {
            self
        }
    }
}
