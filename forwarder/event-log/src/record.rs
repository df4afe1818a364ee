//! What was taken on and is not over, in memory. Marks change it, and are frames at once: those since they
//! were last asked for wait to be written wherever the record is kept.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};

use crate::frame::{AcceptedEvent, Mark, Outcome, Reader};
use crate::owed::PendingEvent;

/// Kept free for the marks of each event: a few sends and its end.
pub(crate) const MARKS: usize = 800;
/// Kept free for what is noted of a target.
const NOTE: usize = 100;

#[derive(Default)]
pub struct EventTable {
    events: BTreeMap<u64, Kept>, // in the order taken
    places: HashMap<String, u64>,
    /// Order keys of events that are not over, and of how many.
    keys: HashMap<u64, usize>,
    cold: BTreeMap<String, (f64, f64)>,
    live: usize,
    next: u64,
    unwritten: Vec<u8>,
}

/// The frames of an event that is not over.
struct Kept {
    id: String,
    key: Option<u64>,
    frames: Vec<u8>,
    reserved: usize,
}

impl EventTable {
    /// Does what the frames say, up to the first that is torn; returns the bytes of the whole ones. What makes
    /// no sense changes nothing.
    pub fn apply_frames(&mut self, frames: &[u8]) -> usize {
        let mut reader = Reader::new(frames);
        while let Some((mark, frame)) = reader.next() {
            match &mark {
                Mark::Cold {
                    target,
                    since,
                    usual,
                } => self.keep_cold(target, *since, *usual),
                Mark::Taken(taken) if self.contains(&taken.id) => (),
                Mark::Taken(taken) => self.keep(taken.id.to_string(), taken.key, frame.to_vec()),
                Mark::Sent { id, .. }
                | Mark::Unrun { id }
                | Mark::Ended { id, .. }
                | Mark::Over { id } => {
                    let place = self.places.get(&**id).copied();
                    place
                        .into_iter()
                        .for_each(|place| self.follow(place, &mark, frame));
                }
            }
        }
        reader.read()
    }

    /// The whole of it as frames, which `apply` reads.
    pub fn write_frames(&self, out: &mut Vec<u8>) {
        self.events
            .values()
            .for_each(|kept| out.extend_from_slice(&kept.frames));
        for (target, &(since, usual)) in &self.cold {
            Mark::Cold {
                target: target.as_str().into(),
                since,
                usual,
            }
            .write(out);
        }
    }

    /// In the order taken.
    pub fn pending_events(&self) -> Vec<PendingEvent> {
        self.events
            .values()
            .filter_map(|kept| PendingEvent::read(&kept.frames))
            .collect()
    }

    /// What is owed of one event.
    pub fn pending_event(&self, id: &str) -> Option<PendingEvent> {
        self.places
            .get(id)
            .and_then(|place| PendingEvent::read(&self.events[place].frames))
    }

    fn keep(&mut self, id: String, key: Option<u64>, frames: Vec<u8>) {
        let reserved = frames.len() + MARKS;
        self.live += reserved;
        self.places.insert(id.clone(), self.next);
        key.into_iter()
            .for_each(|key| *self.keys.entry(key).or_default() += 1);
        self.events.insert(
            self.next,
            Kept {
                id,
                key,
                frames,
                reserved,
            },
        );
        self.next += 1;
    }

    fn keep_cold(&mut self, target: &str, since: f64, usual: f64) {
        if since.is_nan() {
            return self.remove_target(target);
        }
        if self
            .cold
            .insert(target.to_owned(), (since, usual))
            .is_none()
        {
            self.live += NOTE;
        }
    }

    /// What a mark of an event does to its frames.
    fn follow(&mut self, place: u64, mark: &Mark, frame: &[u8]) {
        let kept = self.events.get_mut(&place).expect("kept with its place");
        self.live -= kept.reserved;
        if let Mark::Over { .. } = mark {
            self.places.remove(&kept.id);
            let key = self.events.remove(&place).and_then(|kept| kept.key);
            return key.into_iter().for_each(|key| self.key_is_over(key));
        }
        if let (Mark::Ended { .. }, Some((Mark::Taken(taken), _))) =
            (mark, Reader::new(&kept.frames).next())
        {
            // Its body and sends are not needed any more; its place among those of its key is.
            let mut short = Vec::new();
            Mark::Taken(AcceptedEvent {
                body: Cow::default(),
                fingerprint: None,
                ..taken
            })
            .write(&mut short);
            (kept.reserved, kept.frames) = (short.len() + MARKS, short);
        }
        self.live += kept.reserved;
        kept.frames.extend_from_slice(frame);
    }

    fn mark(&mut self, id: &str, mark: Mark) {
        let Some(&place) = self.places.get(id) else {
            return;
        };
        let from = self.unwritten.len();
        mark.write(&mut self.unwritten);
        let frame = self.unwritten[from..].to_vec();
        self.follow(place, &mark, &frame);
    }

    fn key_is_over(&mut self, key: u64) {
        if let Some(left) = self.keys.get_mut(&key) {
            *left -= 1;
            (*left == 0).then(|| self.keys.remove(&key));
        }
    }

    /// Whether an event of that order key is not over.
    pub fn contains_order_key(&self, key: u64) -> bool {
        self.keys.contains_key(&key)
    }

    pub fn contains(&self, id: &str) -> bool {
        self.places.contains_key(id)
    }

    /// Nothing is owed; targets may still be noted as cold.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// The events that are not over, in the order taken.
    pub fn event_ids(&self) -> impl Iterator<Item = &str> {
        self.events.values().map(|kept| kept.id.as_str())
    }

    /// Their number.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Bytes that it may grow to with the marks of what is live.
    pub fn reserved_bytes(&self) -> usize {
        self.live
    }

    /// What one more event with that body may grow it by.
    pub fn max_growth(body: usize) -> usize {
        body + 2 * MARKS
    }

    pub fn accept(&mut self, taken: AcceptedEvent) {
        let (id, key) = (taken.id.to_string(), taken.key);
        let from = self.unwritten.len();
        Mark::Taken(taken).write(&mut self.unwritten);
        let frame = self.unwritten[from..].to_vec();
        self.keep(id, key, frame);
    }

    pub fn record_attempt(&mut self, id: &str, at: f64, zone: &str) {
        self.mark(
            id,
            Mark::Sent {
                id: id.into(),
                at,
                zone: zone.into(),
                time_out: None,
            },
        );
    }

    /// As `sent`, and how long its call may be out, in milliseconds, for whoever goes on with the record while
    /// it is.
    pub fn record_attempt_with_timeout(&mut self, id: &str, at: f64, zone: &str, time_out: f64) {
        self.mark(
            id,
            Mark::Sent {
                id: id.into(),
                at,
                zone: zone.into(),
                time_out: Some(time_out),
            },
        );
    }

    /// The last send surely did not run.
    pub fn record_attempt_not_executed(&mut self, id: &str) {
        self.mark(id, Mark::Unrun { id: id.into() });
    }

    /// A notice is owed from now on, and nothing else.
    pub fn record_outcome(&mut self, id: &str, outcome: Outcome, come_back_after: Option<f64>) {
        self.mark(
            id,
            Mark::Ended {
                id: id.into(),
                outcome,
                come_back_after,
            },
        );
    }

    /// Nothing more is owed.
    pub fn complete(&mut self, id: &str) {
        self.mark(id, Mark::Over { id: id.into() });
    }

    pub fn record_warm_up(&mut self, target: &str, since: f64, usual: f64) {
        Mark::Cold {
            target: target.into(),
            since,
            usual,
        }
        .write(&mut self.unwritten);
        self.keep_cold(target, since, usual);
    }

    /// The targets that were noted as cold, since when, and what usually went there a second.
    pub fn warming_up_targets(&self) -> impl Iterator<Item = (&str, f64, f64)> {
        self.cold
            .iter()
            .map(|(target, (since, usual))| (target.as_str(), *since, *usual))
    }

    /// The target is gone for good, and what was noted of it.
    pub fn remove_target(&mut self, target: &str) {
        if self.cold.remove(target).is_some() {
            self.live -= NOTE;
        }
    }

    /// As `forget_target`, told to whoever else keeps the record: noted as cold since no time at all.
    pub fn record_warm_up_end(&mut self, target: &str) {
        if self.cold.contains_key(target) {
            self.record_warm_up(target, f64::NAN, 0.0);
        }
    }

    /// All targets but those that are `kept` are gone for good.
    pub fn retain_targets(&mut self, kept: impl Fn(&str) -> bool) {
        let before = self.cold.len();
        self.cold.retain(|target, _| kept(target));
        self.live -= NOTE * (before - self.cold.len());
    }

    /// An event without an id is over: every text that reads the record passes over that.
    pub(crate) fn nobody_is_over(&mut self) {
        Mark::Over { id: "".into() }.write(&mut self.unwritten);
    }

    /// The frames of what was marked since it was last taken.
    pub fn unwritten_frames(&self) -> &[u8] {
        &self.unwritten
    }

    pub fn take_unwritten_frames(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.unwritten)
    }

    pub(crate) fn is_written(&mut self) {
        self.unwritten.clear();
    }
}
