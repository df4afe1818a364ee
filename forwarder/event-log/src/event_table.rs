//! The in-memory state that results from the log's records: pending events, and targets that are warming up. The
//! forwarder's event loop changes the state through the `record_*` methods, which also collect the frames that the
//! owner of the table has to store: [`crate::EventLog`] in its file, a Raft group in its log. A replica that applies
//! these frames with [`EventTable::apply_frames`] has the same state.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};

use crate::log_record::{AcceptedEvent, FramedRecord, LogRecord, Outcome, RecordReader};
use crate::pending_event::PendingEvent;

/// Reserved for the later records of each event: a few attempts and its outcome.
const EVENT_RESERVATION_BYTES: usize = 800;
/// Reserved for the record of a target that is warming up.
const WARM_UP_RESERVATION_BYTES: usize = 100;

/// Pending events and warming-up targets, with the frames that are not stored yet.
#[derive(Default)]
pub struct EventTable {
    /// Events by the sequence number of their acceptance.
    events: BTreeMap<u64, StoredEvent>,
    sequence_by_id: HashMap<String, u64>,
    /// Number of pending events by order key.
    pending_by_order_key: HashMap<u64, usize>,
    warming_up: BTreeMap<String, WarmUp>,
    reserved_bytes: usize,
    next_sequence: u64,
    unwritten_frames: Vec<u8>,
}

/// The frames of one pending event.
struct StoredEvent {
    id: String,
    order_key: Option<u64>,
    frames: Vec<u8>,
    reserved_bytes: usize,
}

#[derive(Clone, Copy)]
struct WarmUp {
    /// Milliseconds since the Unix epoch.
    since: f64,
    /// Events a second.
    usual_rate: f64,
}

impl EventTable {
    /// Applies the records of `frames` up to the first torn frame, and returns the length of the complete frames in
    /// bytes. A record that does not match the state, such as an attempt of an unknown event, changes nothing.
    pub fn apply_frames(&mut self, frames: &[u8]) -> usize {
        let mut reader = RecordReader::new(frames);
        for FramedRecord { record, frame } in reader.by_ref() {
            self.apply_record(&record, frame);
        }
        reader.position()
    }

    fn apply_record(&mut self, record: &LogRecord, frame: &[u8]) {
        match record {
            LogRecord::WarmUp {
                target,
                since,
                usual_rate,
            } => {
                self.set_warm_up(
                    target,
                    WarmUp {
                        since: *since,
                        usual_rate: *usual_rate,
                    },
                );
            }
            LogRecord::Accepted(event) => {
                if !self.contains(&event.id) {
                    self.insert_event(event.id.to_string(), event.key, frame.to_vec());
                }
            }
            LogRecord::Attempt { id, .. }
            | LogRecord::AttemptNotExecuted { id }
            | LogRecord::Outcome { id, .. }
            | LogRecord::Completed { id } => {
                if let Some(&sequence) = self.sequence_by_id.get(&**id) {
                    self.update_event(sequence, record, frame);
                }
            }
        }
    }

    /// Appends the complete state to `out` as frames for [`EventTable::apply_frames`].
    pub fn write_frames(&self, out: &mut Vec<u8>) {
        for event in self.events.values() {
            out.extend_from_slice(&event.frames);
        }
        for (target, warm_up) in &self.warming_up {
            warm_up.to_record(target).write(out);
        }
    }

    /// The pending events in the order of acceptance.
    pub fn pending_events(&self) -> Vec<PendingEvent> {
        self.events
            .values()
            .filter_map(|event| PendingEvent::from_frames(&event.frames))
            .collect()
    }

    /// The pending event with the given id.
    pub fn pending_event(&self, id: &str) -> Option<PendingEvent> {
        let sequence = self.sequence_by_id.get(id)?;
        PendingEvent::from_frames(&self.events.get(sequence)?.frames)
    }

    /// Whether an event with the given order key is pending.
    pub fn contains_order_key(&self, key: u64) -> bool {
        self.pending_by_order_key.contains_key(&key)
    }

    /// Whether the event with the given id is pending.
    pub fn contains(&self, id: &str) -> bool {
        self.sequence_by_id.contains_key(id)
    }

    /// Whether no event is pending. Targets may still be warming up.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// The ids of the pending events in the order of acceptance.
    pub fn event_ids(&self) -> impl Iterator<Item = &str> {
        self.events.values().map(|event| event.id.as_str())
    }

    /// The number of pending events.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Size in bytes up to which the state may grow with further records of its current events and targets.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// Bytes by which [`EventTable::reserved_bytes`] may grow with one more event that has a body of `body` bytes.
    pub fn max_growth(body: usize) -> usize {
        body + 2 * EVENT_RESERVATION_BYTES
    }

    /// Adds an event that the forwarder accepts.
    pub fn accept(&mut self, event: AcceptedEvent) {
        let id = event.id.to_string();
        let order_key = event.key;
        let frame = self.write_record(&LogRecord::Accepted(event));
        self.insert_event(id, order_key, frame);
    }

    /// Records an attempt that is about to be sent to `zone` at `started_at`, in milliseconds since the Unix epoch.
    pub fn record_attempt(&mut self, id: &str, started_at: f64, zone: &str) {
        self.record(
            id,
            LogRecord::Attempt {
                id: id.into(),
                started_at,
                zone: zone.into(),
                timeout: None,
            },
        );
    }

    /// As [`EventTable::record_attempt`], with the timeout of the attempt in milliseconds: for a log that another
    /// process may take over while the attempt is in flight.
    pub fn record_attempt_with_timeout(
        &mut self,
        id: &str,
        started_at: f64,
        zone: &str,
        timeout: f64,
    ) {
        let timeout = Some(timeout);
        self.record(
            id,
            LogRecord::Attempt {
                id: id.into(),
                started_at,
                zone: zone.into(),
                timeout,
            },
        );
    }

    /// Records that the last attempt certainly did not execute the event.
    pub fn record_attempt_not_executed(&mut self, id: &str) {
        self.record(id, LogRecord::AttemptNotExecuted { id: id.into() });
    }

    /// Records the event's outcome and the delay in milliseconds after which its client may submit it again. From then
    /// on only the client's acknowledgement of the outcome is pending.
    pub fn record_outcome(&mut self, id: &str, outcome: Outcome, retry_after: Option<f64>) {
        self.record(
            id,
            LogRecord::Outcome {
                id: id.into(),
                outcome,
                retry_after,
            },
        );
    }

    /// Records the completion of an event, and removes the event.
    pub fn complete(&mut self, id: &str) {
        self.record(id, LogRecord::Completed { id: id.into() });
    }

    /// Records that a target has been warming up since `since`, in milliseconds since the Unix epoch, and its usual
    /// rate in events a second.
    pub fn record_warm_up(&mut self, target: &str, since: f64, usual_rate: f64) {
        let warm_up = WarmUp { since, usual_rate };
        warm_up.to_record(target).write(&mut self.unwritten_frames);
        self.set_warm_up(target, warm_up);
    }

    /// Removes a target whose warm-up has ended, and records the removal for readers of the frames.
    pub fn record_warm_up_end(&mut self, target: &str) {
        if self.warming_up.contains_key(target) {
            self.record_warm_up(target, f64::NAN, 0.0);
        }
    }

    /// The targets that are warming up, each with the start of its warm-up and its usual rate in events a second.
    pub fn warming_up_targets(&self) -> impl Iterator<Item = (&str, f64, f64)> {
        self.warming_up
            .iter()
            .map(|(target, warm_up)| (target.as_str(), warm_up.since, warm_up.usual_rate))
    }

    /// Removes a target that no longer exists. No frame records the removal: the next rewrite of the file omits the target.
    pub fn remove_target(&mut self, target: &str) {
        if self.warming_up.remove(target).is_some() {
            self.reserved_bytes -= WARM_UP_RESERVATION_BYTES;
        }
    }

    /// Removes all targets except those for which `retains` is true, as [`EventTable::remove_target`] does.
    pub fn retain_targets(&mut self, retains: impl Fn(&str) -> bool) {
        let before = self.warming_up.len();
        self.warming_up.retain(|target, _| retains(target));
        self.reserved_bytes -= WARM_UP_RESERVATION_BYTES * (before - self.warming_up.len());
    }

    /// The frames of all changes since the frames were last taken or discarded.
    pub fn unwritten_frames(&self) -> &[u8] {
        &self.unwritten_frames
    }

    /// Takes the frames of all changes since the last call.
    pub fn take_unwritten_frames(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.unwritten_frames)
    }

    /// Discards the unwritten frames after their owner has stored them.
    pub(crate) fn discard_unwritten_frames(&mut self) {
        self.unwritten_frames.clear();
    }

    /// Appends a record that changes nothing: every version that reads the log skips the completion of an event
    /// with an empty id.
    pub(crate) fn record_no_op(&mut self) {
        LogRecord::Completed { id: "".into() }.write(&mut self.unwritten_frames);
    }

    /// Adds the record's frame to the unwritten frames and applies the record, if its event is pending.
    fn record(&mut self, id: &str, record: LogRecord) {
        let Some(&sequence) = self.sequence_by_id.get(id) else {
            return;
        };
        let frame = self.write_record(&record);
        self.update_event(sequence, &record, &frame);
    }

    /// Adds the record's frame to the unwritten frames and returns a copy of it.
    fn write_record(&mut self, record: &LogRecord) -> Vec<u8> {
        let start = self.unwritten_frames.len();
        record.write(&mut self.unwritten_frames);
        self.unwritten_frames[start..].to_vec()
    }

    fn insert_event(&mut self, id: String, order_key: Option<u64>, frames: Vec<u8>) {
        let reserved_bytes = frames.len() + EVENT_RESERVATION_BYTES;
        self.reserved_bytes += reserved_bytes;
        self.sequence_by_id.insert(id.clone(), self.next_sequence);
        if let Some(key) = order_key {
            *self.pending_by_order_key.entry(key).or_default() += 1;
        }
        self.events.insert(
            self.next_sequence,
            StoredEvent {
                id,
                order_key,
                frames,
                reserved_bytes,
            },
        );
        self.next_sequence += 1;
    }

    /// Applies a record of a pending event to its frames.
    fn update_event(&mut self, sequence: u64, record: &LogRecord, frame: &[u8]) {
        if let LogRecord::Completed { .. } = record {
            return self.remove_event(sequence);
        }
        let event = self
            .events
            .get_mut(&sequence)
            .expect("every sequence number of an id has an event");
        if let LogRecord::Outcome { .. } = record {
            self.reserved_bytes -= event.reserved_bytes;
            event.drop_body_and_attempts();
            self.reserved_bytes += event.reserved_bytes;
        }
        event.frames.extend_from_slice(frame);
    }

    fn remove_event(&mut self, sequence: u64) {
        let event = self
            .events
            .remove(&sequence)
            .expect("every sequence number of an id has an event");
        self.reserved_bytes -= event.reserved_bytes;
        self.sequence_by_id.remove(&event.id);
        if let Some(key) = event.order_key {
            self.release_order_key(key);
        }
    }

    fn release_order_key(&mut self, key: u64) {
        if let Some(pending) = self.pending_by_order_key.get_mut(&key) {
            *pending -= 1;
            if *pending == 0 {
                self.pending_by_order_key.remove(&key);
            }
        }
    }

    fn set_warm_up(&mut self, target: &str, warm_up: WarmUp) {
        if warm_up.since.is_nan() {
            return self.remove_target(target);
        }
        if self.warming_up.insert(target.to_owned(), warm_up).is_none() {
            self.reserved_bytes += WARM_UP_RESERVATION_BYTES;
        }
    }
}

impl StoredEvent {
    /// Drops the body, fingerprint and attempts of an event with an outcome, which is never attempted again. The frame
    /// of its acceptance stays without them, since the event keeps its position among the events of its order key.
    fn drop_body_and_attempts(&mut self) {
        let Some(FramedRecord {
            record: LogRecord::Accepted(event),
            ..
        }) = RecordReader::new(&self.frames).next()
        else {
            return;
        };
        let mut frames = Vec::new();
        let without_body = AcceptedEvent {
            body: Cow::default(),
            fingerprint: None,
            ..event
        };
        LogRecord::Accepted(without_body).write(&mut frames);
        self.reserved_bytes = frames.len() + EVENT_RESERVATION_BYTES;
        self.frames = frames;
    }
}

impl WarmUp {
    fn to_record(self, target: &str) -> LogRecord<'_> {
        LogRecord::WarmUp {
            target: target.into(),
            since: self.since,
            usual_rate: self.usual_rate,
        }
    }
}
