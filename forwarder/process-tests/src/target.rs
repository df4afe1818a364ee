//! Test double of a target, with a separate listener for each forwarder, which identifies the caller.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::trace::{Trace, TraceRecord};
use plankhill_test_relay::ThreadedListener;

use crate::http;

/// How a target answers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetBehavior {
    /// With 200, after this delay.
    Respond(Duration),
    /// With 503: the event was certainly not executed.
    Reject,
    /// With 500: the event may have been executed.
    Fail,
    /// Not until the behavior changes.
    Hang,
    /// With a connection that closes within the status line.
    TruncateResponse,
}

/// State that the connections of a target share.
struct TargetState {
    number: usize,
    trace: Trace,
    behavior: Mutex<TargetBehavior>,
    /// For each connection: when it was opened, and when its end was detected.
    connections: Mutex<Vec<(f64, Option<f64>)>>,
}

/// A running target.
pub struct Target {
    state: Arc<TargetState>,
    listeners: Vec<ThreadedListener>,
}

impl Target {
    /// Starts a target with a listener for each instance.
    pub fn new(number: usize, instances: usize, trace: &Trace) -> Target {
        let behavior = Mutex::new(TargetBehavior::Respond(Duration::ZERO));
        let state = Arc::new(TargetState {
            number,
            trace: trace.clone(),
            behavior,
            connections: Mutex::default(),
        });
        let listener = |instance| {
            let state = state.clone();
            ThreadedListener::open(move |stream| state.handle_connection(stream, instance))
        };
        let listeners = (0..instances).map(listener).collect();
        Target { state, listeners }
    }

    /// Maximum number of connections, including idle ones, that were open at once from all instances.
    pub fn max_open_connections(&self) -> usize {
        let all = self
            .state
            .connections
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let opened = all.iter().map(|(opened, _)| (*opened, 1));
        let closed = all.iter().filter_map(|(opened, closed)| {
            Some(((*closed)? - MAX_CLOSE_DETECTION_DELAY_MS).max(*opened))
        });
        let mut changes: Vec<(f64, i32)> = opened.chain(closed.map(|at| (at, -1))).collect();
        changes.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (mut open, mut max_open) = (0, 0);
        for (_, change) in changes {
            open += change;
            max_open = max_open.max(open);
        }
        max_open as usize
    }

    /// The address of the listener for an instance.
    pub fn address_for(&self, instance: usize) -> SocketAddr {
        self.listeners[instance].address
    }

    /// Sets the behavior for new calls and for those that hang.
    pub fn set_behavior(&self, behavior: TargetBehavior) {
        *self.state.behavior.lock().unwrap() = behavior;
    }
}

/// Maximum delay with which the end of a connection is detected, in milliseconds: a relay and two threads are in
/// between.
const MAX_CLOSE_DETECTION_DELAY_MS: f64 = 300.0;

impl TargetState {
    fn handle_connection(&self, stream: TcpStream, instance: usize) {
        let all = || {
            self.connections
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner())
        };
        let number = {
            let mut all = all();
            all.push((self.trace.now(), None));
            all.len() - 1
        };
        self.serve(stream, instance);
        all()[number].1 = Some(self.trace.now());
    }

    fn serve(&self, stream: TcpStream, instance: usize) {
        let mut from = BufReader::new(stream);
        let mut last_call = None;
        while http::has_next_message(&mut from) {
            let at = self.trace.now();
            let Ok(message) = http::read(&mut from) else {
                break;
            };
            let keep_open = match message.starts_with("POST /receive ") {
                true => {
                    let call = self.trace.next_call_number();
                    last_call = Some(call);
                    self.handle_call(&mut from, &message, instance, (call, at))
                }
                false => self.answer_health_check(&mut from),
            };
            if !keep_open {
                break;
            }
        }
        // A forwarder that gives up a call closes its connection.
        last_call
            .into_iter()
            .for_each(|call| self.trace.record(TraceRecord::ConnectionClosed { call }));
    }

    fn behavior(&self) -> TargetBehavior {
        *self
            .behavior
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn answer_health_check(&self, from: &mut BufReader<TcpStream>) -> bool {
        let status = if matches!(self.behavior(), TargetBehavior::Respond(_)) {
            200
        } else {
            503
        };
        http::write_response(from.get_mut(), status, "", "").is_ok()
    }

    /// Records and answers a call; returns whether the connection stays open.
    fn handle_call(
        &self,
        from: &mut BufReader<TcpStream>,
        message: &http::Message,
        instance: usize,
        (call, at): (u64, f64),
    ) -> bool {
        let id = message.field("Req-Id").expect("each call has an id");
        let timeout_s = message
            .field("Req-Deadline")
            .and_then(|seconds| seconds.parse::<f64>().ok());
        let event = self.trace.event_number(id);
        let timeout =
            timeout_s.expect("each call has the time for which its forwarder waits") * 1000.0;
        self.trace.record_at(
            at,
            TraceRecord::CallStarted {
                call,
                instance,
                event,
                target: self.number,
                timeout,
            },
        );
        self.trace.record(TraceRecord::CallReceived { call });
        let mut behavior = self.behavior();
        let must_wait = |behavior: TargetBehavior, at: f64| match behavior {
            TargetBehavior::Hang => true,
            TargetBehavior::Respond(after) => self.trace.now() < at + after.as_secs_f64() * 1000.0,
            _ => false,
        };
        loop {
            if http::is_closed(from.get_ref()) {
                return false;
            }
            if !must_wait(behavior, at) {
                break;
            }
            thread::sleep(Duration::from_millis(2));
            if behavior == TargetBehavior::Hang {
                behavior = self.behavior();
            }
        }
        let status = match behavior {
            TargetBehavior::Respond(_) => 200,
            TargetBehavior::Reject => 503,
            TargetBehavior::Fail => 500,
            TargetBehavior::Hang | TargetBehavior::TruncateResponse => {
                let _ = from.get_mut().write_all(b"HTTP/1.1 20");
                return false;
            }
        };
        // Recorded before the answer is written, so that its consequences are recorded later.
        self.trace
            .record(TraceRecord::CallAnswered { call, status });
        http::write_response(from.get_mut(), status, "", "").is_ok()
    }
}
