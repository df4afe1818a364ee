//! Decisions turned into the wire's words and units.

use plankhill_decisions::interface::*;
use serde_json::{json, Value};

/// Decisions in the wire's words; spans are rounded up to whole microseconds, so that none ends early.
#[derive(Default)]
pub struct Written {
    pub who: u64,
    pub decisions: Vec<Value>,
}

impl Written {
    pub fn ring_after(&mut self, pause: Ms, label: u64) {
        self.decisions.push(
            json!({"cmd": "defer", "who": self.who, "afterUs": micros(pause), "label": label}),
        );
    }
    pub fn ask(&mut self) {
        self.decisions
            .push(json!({"cmd": "track", "who": self.who, "enable": true}));
    }
}

impl Effects for Written {
    fn send_attempt(&mut self, event: &EventId, target: &TargetId, time_out: Ms, _: Ms) {
        let (xid, target) = (&*event.0, &*target.0);
        let span = micros(time_out).max(1);
        let who = self.who;
        self.decisions.push(
            json!({"cmd": "callOut", "who": who, "xid": xid, "target": target, "tryForUs": span}),
        );
    }
    fn reject(&mut self, event: &EventId, come_back_after: Option<Ms>) -> bool {
        let wait = come_back_after.map(micros);
        self.decisions
            .push(json!({"cmd": "notNow", "who": self.who, "xid": &*event.0, "waitUs": wait}));
        false
    }
    fn abandon(&mut self, event: &EventId) -> bool {
        self.decisions
            .push(json!({"cmd": "error", "who": self.who, "xid": &*event.0}));
        false
    }
    fn health_check(&mut self, target: &TargetId) {
        self.decisions
            .push(json!({"cmd": "check", "who": self.who, "target": &*target.0}));
    }
    fn close_idle_connections(&mut self, target: &TargetId) {
        self.decisions
            .push(json!({"cmd": "hangUp", "who": self.who, "target": &*target.0}));
    }
    fn cancel_unsent(&mut self, _: &TargetId) {} // a call is written at once there
    fn record_warm_up(&mut self, _: &TargetId, _: Ms, _: f64) {} // nothing outlasts a forwarder there
    fn wake_after(&mut self, pause: Ms) {
        self.ring_after(pause, 0);
    }
}

fn micros(span: Ms) -> i64 {
    (span * 1000.0).ceil() as i64
}
