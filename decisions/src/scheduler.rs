//! Every decision of a forwarder, here and in the files under `decide/`. A host calls [`Forwarder::round`]
//! once a round: what came in is handed over by the calls of `came_in` and `outcomes`, then the decisions go
//! straight into the writer. A round looks only at destinations that something came in for or is due at. Each
//! stands in three rosters (when something is due, whose turn it is, how much waits); see docs/design.md.

mod adopted;
mod came_in;
mod ends;
mod health;
mod outcomes;
mod sends;

use std::cmp::Reverse;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::interface::*;
use crate::state::*;

/// What the decisions about one destination read besides it.
#[derive(Default, Serialize, Deserialize)]
struct Here {
    #[serde(skip)]
    terms: DecisionConfig,
    started: Ms,
    now: Ms,
    draws: u64,
    answers: AnswerTimes, // of all destinations
    reused: Fading,       // calls on connections that had been idle
    stale: Fading,        // those of them that were lost
    stale_until: Ms,
    counts: Vec<KindCounts>,
    asked: Vec<Fading>, // by member: events taken inside its share
}

/// Its serialised form is what a process that takes over decides on from.
#[derive(Default, Serialize, Deserialize)]
pub struct Scheduler {
    here: Here,
    taken: u64,
    calls_made: u64,
    calls_out: usize,
    destinations: HashMap<DestinationId, Box<Destination>>,
    homes: HashMap<TargetId, DestinationId>,
    places: HashMap<EventId, (DestinationId, u64)>,
    keys: Keys,
    resting: VecDeque<(Ms, OrderKey)>,
    changed: BTreeSet<DestinationId>,
    due: BTreeSet<(Moment, DestinationId)>,
    ready: BTreeSet<(Turn, DestinationId)>,
    doubtful_out: usize, // calls out to lanes in doubt
    waiting: BTreeSet<(Backlog, DestinationId)>,
    woken_at: Moment, // the ring that is already ordered
    sends_until: Moment,
    #[serde(skip)]
    // counted anew from what is handed over, which an earlier version may have written
    unheard: usize, // ended events that stay only until their notice is heard
}

/// Long enough to know a destination's usual traffic, short against the length of a busy hour.
const USUAL: Ms = 60_000.0;
/// Answers are remembered over some ten of them at a call or two a second; 4, 7 and 15 s serve alike.
const MEMORY: Ms = 7_000.0;
/// The most that the least is which a call is given to be answered: six times a common answer of 250 ms.
const LEAST_TIME: Ms = 1500.0;
/// What was sent in the last moments, for the pace that a refusal cuts.
const RECENT: Ms = 2_000.0;
/// How long idle connections are closed after they did harm: longer than an outage mostly lasts.
const REUSE: Ms = 60_000.0;
/// Idle for less, a connection is used again and does no harm: about as long as a call; 1 ms serves alike.
const BRIEF: Ms = 300.0;
/// The design's second between pings.
const PING: Ms = 1000.0;
/// Calls a second past which what a refusal teaches is relearned by the call, not by the second.
const OFTEN: f64 = 5.0;
/// Held events end this long before patience does, so that the answer's round is in time.
const LAST_MOMENT: Ms = 30.0;

impl Scheduler {
    pub fn new(terms: DecisionConfig, now: Ms) -> Self {
        let here = Here {
            started: now,
            now,
            ..Here::default()
        };
        Scheduler {
            here,
            ..Self::default()
        }
        .resume(terms)
    }

    /// Goes on, in another process, with terms of the same names.
    pub fn resume(mut self, terms: DecisionConfig) -> Self {
        self.here
            .counts
            .resize_with(terms.destination_kinds.len(), KindCounts::default);
        self.here
            .asked
            .resize_with(terms.member_quotas.len(), Fading::default);
        self.here.terms = terms;
        self.unheard = self
            .destinations
            .values()
            .flat_map(|d| d.events.values().filter(|e| e.unheard))
            .count();
        self
    }

    /// One round: `came_in` hands over all that arrived, then the decisions are written.
    pub fn run_iteration<E, D: Effects>(
        &mut self,
        now: Ms,
        came_in: impl FnOnce(&mut Self, &mut D) -> Result<(), E>,
        out: &mut D,
    ) -> Result<(), E> {
        (self.here.now, self.woken_at) = (
            now,
            Some(self.woken_at)
                .filter(|at| at.0 > now)
                .unwrap_or_default(),
        );
        came_in(self, out)?;
        while self.due.first().is_some_and(|(at, _)| at.0 <= now) {
            self.changed.extend(self.due.pop_first().map(|(_, id)| id));
        }
        while let Some((_, key)) = self.resting.pop_front_if(|(until, _)| *until <= now) {
            self.forget_if_idle(key);
        }
        for id in self.changed.iter().copied().collect::<Vec<_>>() {
            self.tend(id, out);
        }
        self.keep_room(out);
        while let Some(id) = self.changed.pop_first() {
            self.file(id);
        }
        while self.calls_out < self.here.terms.max_calls_in_flight && now < self.sends_until.0 {
            let Some(&((doubtful, ..), id)) = self.ready.first() else {
                break;
            };
            // Slots are kept for destinations that answer: those in doubt have half of them at most. Guards
            // against all that pins slots; harmful where most are slow and the slots would have sufficed.
            if doubtful && 2 * self.doubtful_out >= self.here.terms.max_calls_in_flight {
                break;
            }
            self.send_next(id, out);
            self.file(id);
        }
        if let Some(&(at, _)) = self.due.first().filter(|(at, _)| *at < self.woken_at) {
            self.woken_at = at;
            out.wake_after(at.0 - now);
        }
        Ok(())
    }
}

impl Here {
    fn draw(&mut self, id: u64) -> f64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.terms.seed, self.terms.instance, id, self.draws).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A quarter either way, so that what failed together does not come again together.
fn jitter(chance: f64) -> f64 {
    0.75 + 0.5 * chance
}
