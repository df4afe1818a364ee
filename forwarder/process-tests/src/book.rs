//! What the stand-ins saw, under one monotonic clock.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use plankhill_invariants::Ms;

/// What a repeat of an event does, as the client that hands it in chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Retriable,
    Fingerprinted,
    Binding,
}

#[derive(Clone, Debug)]
pub enum Seen {
    /// A client is about to write the event's request to the instance. Events that stand for one thing that a
    /// client wants done have the same `origin`.
    Asked {
        instance: usize,
        event: u64,
        origin: u64,
        effect: Effect,
        key: Option<u64>,
        patience: Ms,
    },
    /// The client heard an answer with that status.
    Answered {
        event: u64,
        status: u16,
    },
    /// The client heard none.
    Unheard {
        event: u64,
    },
    /// The first byte of a call that was read whole later.
    Began {
        call: u64,
        instance: usize,
        event: u64,
        target: usize,
        time_out: Ms,
    },
    /// The last byte of the call came.
    Whole {
        call: u64,
    },
    /// The first line of an answer is written.
    Replied {
        call: u64,
        status: u16,
    },
    /// The connection ended, with the call as its last, answered or not.
    Gone {
        call: u64,
    },
    /// A notice was read; 204 is about to be written.
    Notice {
        event: u64,
        given_up: bool,
    },
    /// A list in which the target leaves, or (`leaves` false) is up, is about to be written to the instance.
    Listed {
        instance: usize,
        target: usize,
        leaves: bool,
    },
    /// Its folder is gone: what comes back is a new instance under the old name.
    Lost {
        instance: usize,
    },
    /// From now on the instance may miss what happens: it is ended, stands still, or is cut off.
    Hindered {
        instance: usize,
    },
    Free {
        instance: usize,
        anew: bool,
    },
}

#[derive(Clone)]
pub struct Book {
    began: Instant,
    seen: Arc<Mutex<Pages>>,
}

#[derive(Default)]
struct Pages {
    seen: Vec<(Ms, Seen)>,
    names: HashMap<String, u64>,
    calls: u64,
}

impl Default for Book {
    fn default() -> Self {
        Book {
            began: Instant::now(),
            seen: Arc::default(),
        }
    }
}

impl Book {
    pub fn now(&self) -> Ms {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    pub fn at(&self, instant: Instant) -> Ms {
        instant.saturating_duration_since(self.began).as_secs_f64() * 1000.0
    }

    fn pages(&self) -> MutexGuard<'_, Pages> {
        self.seen
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Read under the lock, so that the order of what is seen is the order of its times.
    pub fn note(&self, seen: Seen) {
        let mut pages = self.pages();
        let now = self.now();
        pages.seen.push((now, seen));
    }

    /// Of something that began earlier than it could be told.
    pub fn note_at(&self, at: Ms, seen: Seen) {
        self.pages().seen.push((at, seen));
    }

    /// The number of the event with that id, which is given with its first use.
    pub fn event(&self, id: &str) -> u64 {
        let mut pages = self.pages();
        let next = pages.names.len() as u64;
        *pages.names.entry(id.to_owned()).or_insert(next)
    }

    pub fn call(&self) -> u64 {
        let mut pages = self.pages();
        pages.calls += 1;
        pages.calls
    }

    /// All so far, in the order of its times.
    pub fn all(&self) -> Vec<(Ms, Seen)> {
        let mut all = self.pages().seen.clone();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        all
    }

    /// The ids by their numbers.
    pub fn ids(&self) -> HashMap<u64, String> {
        self.pages()
            .names
            .iter()
            .map(|(id, number)| (*number, id.clone()))
            .collect()
    }

    pub fn count(&self, is: impl Fn(&Seen) -> bool) -> usize {
        self.pages()
            .seen
            .iter()
            .filter(|(_, seen)| is(seen))
            .count()
    }

    /// How often a call with that event came whole, from whichever instance.
    pub fn sends(&self, id: &str) -> usize {
        let number = self.event(id);
        let pages = self.pages();
        let began = |call: u64| {
            let of = |seen: &Seen| matches!(seen, Seen::Began { call: c, event, .. } if *c == call && *event == number);
            pages.seen.iter().any(|(_, seen)| of(seen))
        };
        pages
            .seen
            .iter()
            .filter(|(_, seen)| matches!(seen, Seen::Whole { call } if began(*call)))
            .count()
    }

    /// When the first byte of each call with the event came, and how long its forwarder waits for the answer.
    pub fn calls(&self, id: &str) -> Vec<(Ms, Ms)> {
        let number = self.event(id);
        let of = |(at, seen): (Ms, Seen)| match seen {
            Seen::Began {
                event, time_out, ..
            } if event == number => Some((at, time_out)),
            _ => None,
        };
        self.all().into_iter().filter_map(of).collect()
    }

    /// Whether a notice of the event was heard.
    pub fn was_noticed(&self, id: &str) -> bool {
        let number = self.event(id);
        self.count(|seen| matches!(seen, Seen::Notice { event, .. } if *event == number)) > 0
    }

    /// The events that were promised and have neither a notice nor, as their last call, one that was answered with
    /// 200: an answer that its reader may not have read is followed by another call.
    pub fn open(&self) -> Vec<u64> {
        let all = self.all();
        let mut last_call = HashMap::new();
        let mut delivered = HashSet::new();
        let mut noticed = HashSet::new();
        let mut open = Vec::new();
        for (_, seen) in &all {
            match seen {
                Seen::Answered { event, status: 202 } => open.push(*event),
                Seen::Began { call, event, .. } => drop(last_call.insert(*event, *call)),
                Seen::Replied { call, status: 200 } => drop(delivered.insert(*call)),
                Seen::Notice { event, .. } => drop(noticed.insert(*event)),
                _ => (),
            }
        }
        let is_delivered = |event: &u64| {
            last_call
                .get(event)
                .is_some_and(|call| delivered.contains(call))
        };
        open.retain(|event| !noticed.contains(event) && !is_delivered(event));
        open
    }
}
