//! The records of clients, targets and discovery, with one monotonic clock.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use plankhill_invariants::Ms;

/// How a repeated call of an event is handled, as chosen by the client that submits it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// The target detects repeats by their token.
    Deduplicated,
    /// A repeat has a second effect.
    NonIdempotent,
}

/// Something that a client, a target, discovery or the test recorded.
#[derive(Clone, Debug)]
pub enum TraceRecord {
    /// A client is about to write the event's request to the instance. Events for the same operation of a client have
    /// the same `origin`.
    RequestSent {
        instance: usize,
        event: u64,
        origin: u64,
        idempotency: Idempotency,
        key: Option<u64>,
        time_to_deadline: Ms,
    },
    /// The client received a response with this status.
    ResponseReceived { event: u64, status: u16 },
    /// The client received no response.
    NoResponse { event: u64 },
    /// The target received the first byte of a call, which it later read completely.
    CallStarted {
        call: u64,
        instance: usize,
        event: u64,
        target: usize,
        timeout: Ms,
    },
    /// The target received the last byte of the call.
    CallReceived { call: u64 },
    /// The target is about to write the answer.
    CallAnswered { call: u64, status: u16 },
    /// The connection closed, with this call as its last one, answered or not.
    ConnectionClosed { call: u64 },
    /// Discovery received a notification and is about to answer with 204.
    NotificationReceived { event: u64, is_abandoned: bool },
    /// Discovery is about to send the instance a list in which the target is draining or, with `is_draining` false, up.
    TargetListed {
        instance: usize,
        target: usize,
        is_draining: bool,
    },
    /// The instance lost its state: after a restart it is a new instance with the old name.
    StateLost { instance: usize },
    /// The instance may miss messages from now on: its process is killed or suspended, or its links are faulty.
    Impaired { instance: usize },
    /// The instance is no longer impaired; `is_new_process` if its process was restarted.
    Recovered {
        instance: usize,
        is_new_process: bool,
    },
}

/// The shared list of records of a test.
#[derive(Clone)]
pub struct Trace {
    started_at: Instant,
    state: Arc<Mutex<TraceState>>,
}

/// State shared by all clones of a trace.
#[derive(Default)]
struct TraceState {
    records: Vec<(Ms, TraceRecord)>,
    event_numbers: HashMap<String, u64>,
    last_call_number: u64,
}

impl Default for Trace {
    fn default() -> Self {
        Trace {
            started_at: Instant::now(),
            state: Arc::default(),
        }
    }
}

impl Trace {
    /// The current time in milliseconds since the start of the trace.
    pub fn now(&self) -> Ms {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// The time of an instant in milliseconds since the start of the trace.
    pub fn time_of(&self, instant: Instant) -> Ms {
        instant
            .saturating_duration_since(self.started_at)
            .as_secs_f64()
            * 1000.0
    }

    fn state(&self) -> MutexGuard<'_, TraceState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Adds a record with the current time. The clock is read under the lock, so that the records are in the order of
    /// their times.
    pub fn record(&self, record: TraceRecord) {
        let mut state = self.state();
        let now = self.now();
        state.records.push((now, record));
    }

    /// Adds a record with an earlier time, of an event that is detected after it happened.
    pub fn record_at(&self, at: Ms, record: TraceRecord) {
        self.state().records.push((at, record));
    }

    /// The number of the event with this id, assigned at the first use of the id.
    pub fn event_number(&self, id: &str) -> u64 {
        let mut state = self.state();
        let next = state.event_numbers.len() as u64;
        *state.event_numbers.entry(id.to_owned()).or_insert(next)
    }

    /// Assigns a number to a new call.
    pub fn next_call_number(&self) -> u64 {
        let mut state = self.state();
        state.last_call_number += 1;
        state.last_call_number
    }

    /// All records so far, in the order of their times.
    pub fn records(&self) -> Vec<(Ms, TraceRecord)> {
        let mut all = self.state().records.clone();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        all
    }

    /// The ids of events by their numbers.
    pub fn event_ids(&self) -> HashMap<u64, String> {
        self.state()
            .event_numbers
            .iter()
            .map(|(id, number)| (*number, id.clone()))
            .collect()
    }

    /// Number of records that satisfy `predicate`.
    pub fn count(&self, predicate: impl Fn(&TraceRecord) -> bool) -> usize {
        self.state()
            .records
            .iter()
            .filter(|(_, record)| predicate(record))
            .count()
    }

    /// Number of complete calls of the event that targets received, from any instance.
    pub fn call_count(&self, id: &str) -> usize {
        let number = self.event_number(id);
        let state = self.state();
        let is_of_event = |call: u64| {
            let of = |record: &TraceRecord| matches!(record, TraceRecord::CallStarted { call: c, event, .. } if *c == call && *event == number);
            state.records.iter().any(|(_, record)| of(record))
        };
        state
            .records
            .iter()
            .filter(|(_, record)| matches!(record, TraceRecord::CallReceived { call } if is_of_event(*call)))
            .count()
    }

    /// For each call of the event: the time of its first byte, and how long its forwarder waits for the answer.
    pub fn calls(&self, id: &str) -> Vec<(Ms, Ms)> {
        let number = self.event_number(id);
        let of = |(at, record): (Ms, TraceRecord)| match record {
            TraceRecord::CallStarted { event, timeout, .. } if event == number => {
                Some((at, timeout))
            }
            _ => None,
        };
        self.records().into_iter().filter_map(of).collect()
    }

    /// Whether discovery has received a notification of the event.
    pub fn has_notification(&self, id: &str) -> bool {
        let number = self.event_number(id);
        self.count(|record| matches!(record, TraceRecord::NotificationReceived { event, .. } if *event == number)) > 0
    }

    /// The accepted events that have neither a notification nor a last call answered with 200. Only the last call
    /// counts, since an answer that the forwarder may not have read is followed by another call.
    pub fn pending_events(&self) -> Vec<u64> {
        let all = self.records();
        let mut latest = HashMap::new();
        let mut delivered = HashSet::new();
        let mut notified = HashSet::new();
        let mut pending = Vec::new();
        for (_, record) in &all {
            match record {
                TraceRecord::ResponseReceived { event, status: 202 } => pending.push(*event),
                TraceRecord::CallStarted { call, event, .. } => drop(latest.insert(*event, *call)),
                TraceRecord::CallAnswered { call, status: 200 } => drop(delivered.insert(*call)),
                TraceRecord::NotificationReceived { event, .. } => drop(notified.insert(*event)),
                _ => (),
            }
        }
        let is_delivered = |event: &u64| {
            latest
                .get(event)
                .is_some_and(|call| delivered.contains(call))
        };
        pending.retain(|event| !notified.contains(event) && !is_delivered(event));
        pending
    }
}
