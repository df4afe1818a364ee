//! Encodes decisions in the names and units of the wire format. Durations are rounded up to whole microseconds, so that
//! none ends early.

use plankhill_decisions::interface::{Effects, EventId, Ms, TargetId};
use serde_json::{json, Value};

/// Label of the scheduler's timers.
const SCHEDULER_TIMER: u64 = 0;

/// Decisions of one batch, in their order.
#[derive(Default)]
pub struct DecisionWriter {
    instance: u64,
    decisions: Vec<Value>,
}

impl DecisionWriter {
    /// Sets the forwarder that makes the decisions that follow.
    pub fn set_instance(&mut self, instance: u64) {
        self.instance = instance;
    }

    /// The decisions of the batch.
    pub fn into_decisions(self) -> Vec<Value> {
        self.decisions
    }

    /// Requests a timer event with the given label after `delay`.
    pub fn set_timer(&mut self, delay: Ms, label: u64) {
        let after = whole_micros(delay);
        self.decisions
            .push(json!({"cmd": "defer", "who": self.instance, "afterUs": after, "label": label}));
    }

    /// Requests the endpoint list.
    pub fn request_list(&mut self) {
        self.decisions
            .push(json!({"cmd": "track", "who": self.instance, "enable": true}));
    }
}

impl Effects for DecisionWriter {
    fn send_attempt(&mut self, event: &EventId, target: &TargetId, timeout: Ms, _: Ms) {
        let timeout = whole_micros(timeout).max(1);
        self.decisions.push(
            json!({"cmd": "callOut", "who": self.instance, "xid": &*event.0,
            "target": &*target.0, "tryForUs": timeout}),
        );
    }

    fn reject(&mut self, event: &EventId, retry_after: Option<Ms>) -> bool {
        let wait = retry_after.map(whole_micros);
        self.decisions
            .push(json!({"cmd": "notNow", "who": self.instance, "xid": &*event.0, "waitUs": wait}));
        false
    }

    fn abandon(&mut self, event: &EventId) -> bool {
        self.decisions
            .push(json!({"cmd": "error", "who": self.instance, "xid": &*event.0}));
        false
    }

    fn health_check(&mut self, target: &TargetId) {
        self.decisions
            .push(json!({"cmd": "check", "who": self.instance, "target": &*target.0}));
    }

    fn close_idle_connections(&mut self, target: &TargetId) {
        self.decisions
            .push(json!({"cmd": "hangUp", "who": self.instance, "target": &*target.0}));
    }

    /// Does nothing: the simulator writes each call at once.
    fn cancel_unsent(&mut self, _: &TargetId) {}

    /// Does nothing: a simulated forwarder has no persistent state.
    fn record_warm_up(&mut self, _: &TargetId, _: Ms, _: f64) {}

    fn wake_after(&mut self, delay: Ms) {
        self.set_timer(delay, SCHEDULER_TIMER);
    }
}

fn whole_micros(duration: Ms) -> i64 {
    (duration * 1000.0).ceil() as i64
}
