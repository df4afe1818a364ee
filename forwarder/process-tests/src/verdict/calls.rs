//! When a call was sent, when it was over, and whether its answer was read, as far as stand-ins can know.

use std::collections::HashMap;

use plankhill_invariants::Ms;

use super::{Call, Story};
use crate::book::Seen;

/// A stand-in may see the end of a connection so much later than it came; a process that was busy or stood
/// still so much later than it was hindered.
pub(super) const SKEW: Ms = 300.0;
/// An answer that was written so shortly before its reader was hindered may never have been read.
const UNREAD: Ms = 1_000.0;
/// A call that ended so shortly after it was begun to be read had ended before.
const AT_ONCE: Ms = 20.0;
/// A stand-in of a busy machine may see so much later that its caller gave a call up.
const BUSY: Ms = 1_500.0;

impl Story {
    /// Calls whose caller was gone before they were read: a busy machine's stand-in came to them late, and when
    /// they were sent is not known. They count as sent before all else that is known of their event.
    pub(super) fn place_late_calls(&mut self, all: &[(Ms, Seen)]) {
        let late = |call: &Call| {
            call.replied.is_none() && call.gone.is_some_and(|gone| gone - call.began < AT_ONCE)
        };
        let mut first: HashMap<u64, Ms> = HashMap::new();
        let began = self.calls.values().map(|call| (call.event, call.began));
        let noticed = all.iter().filter_map(|(at, seen)| match seen {
            Seen::Notice { event, .. } => Some((*event, *at)),
            _ => None,
        });
        for (event, at) in began.chain(noticed) {
            let known = first.entry(event).or_insert(at);
            *known = known.min(at);
        }
        for call in self.calls.values_mut().filter(|call| late(call)) {
            call.began = first[&call.event] - 0.01;
            call.gone = Some(call.began);
        }
    }

    /// Whether the instance surely read what was written to it then.
    pub(super) fn surely_read(&self, call: &Call, at: Ms) -> bool {
        let hindered = self.hindered.get(&call.instance);
        let hindered = hindered.is_some_and(|all| {
            all.iter()
                .any(|(from, to)| at > from - UNREAD && at < to + SKEW)
        });
        // Its caller may have given it up, on a busy machine also before an answer that was written in time.
        let given_up = call
            .gone
            .is_some_and(|gone| gone < call.began + call.time_out + BUSY);
        !hindered && !given_up && at < call.began + call.time_out
    }

    /// Moves the end of an event whose delivery nobody may know of behind its last call. No end follows a last call
    /// that is over without a delivery: the event is still owed.
    pub(super) fn follows_last_call(&self, event: u64, end: &mut (Ms, usize), now: Ms) -> bool {
        let whole = self
            .calls
            .values()
            .filter(|call| call.event == event && call.whole.is_some());
        let Some(last) = whole.max_by(|a, b| a.began.total_cmp(&b.began)) else {
            return true;
        };
        let delivered = matches!(last.replied, Some((_, 200)));
        let is_out =
            last.replied.is_none() && last.gone.is_none() && now < last.began + last.time_out;
        end.0 = end.0.max(self.over_at(last));
        delivered || is_out
    }

    /// When the call was over for whoever made it.
    pub(super) fn over_at(&self, call: &Call) -> Ms {
        let timed_out = call.began + call.time_out;
        let answered = call.replied.map(|(at, _)| at);
        if let Some(at) = answered.filter(|at| self.surely_read(call, *at)) {
            return at;
        }
        let gone = call
            .gone
            .into_iter()
            .chain(answered)
            .fold(timed_out, f64::min);
        // Its end is seen late, the next call in time.
        let next = self
            .calls
            .values()
            .filter(|next| next.event == call.event && next.began > call.began);
        next.map(|next| next.began)
            .filter(|began| began + SKEW >= gone)
            .fold(gone, f64::min)
    }
}
