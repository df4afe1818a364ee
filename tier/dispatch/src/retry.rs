//! Whether a request whose call ended undelivered goes again.

use plankhill_decisions::interface::{AttemptOutcome, Ms};

use crate::interface::Repeats;

/// What is known of a request after a call has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The target did not run it and never will.
    NotRun,
    /// Nobody can tell.
    MayHaveRun,
    /// The target ran it, with success or not.
    Ran,
}

impl Verdict {
    /// What the end of a call says.
    pub fn of(fate: AttemptOutcome) -> Self {
        match fate {
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => {
                Verdict::NotRun
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled => {
                Verdict::MayHaveRun
            }
            AttemptOutcome::Delivered | AttemptOutcome::Error => Verdict::Ran,
        }
    }
}

/// Calls of one request that surely did not run, beyond `max_attempts`. Each costs a round trip or less; after
/// this many the service as a whole is full or gone.
const MOST_NOT_RUN: u32 = 3;

/// A call that may be repeated is given this many objectives, or usual answer times if that is longer: past
/// both its answer is lost more often than late.
const GIVEN_OBJECTIVES: f64 = 2.0;
const GIVEN_ANSWERS: f64 = 8.0;
/// No more than this share of the time left, so that the next call has as much.
const GIVEN_SHARE: f64 = 0.5;

/// When a call ends as timed out: at the request's deadline, or earlier where another call may follow.
pub fn call_deadline(
    now: Ms,
    deadline: Ms,
    objective: Ms,
    usual_answer: Ms,
    may_follow: bool,
) -> Ms {
    if !may_follow {
        return deadline;
    }
    let given = (GIVEN_OBJECTIVES * objective).max(GIVEN_ANSWERS * usual_answer);
    now + given.min(GIVEN_SHARE * (deadline - now))
}

/// What one request has been through so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    /// Calls that ran or may have run. `max_attempts` bounds them.
    pub run: u32,
    /// Calls that surely did not.
    pub not_run: u32,
    /// How the last one ended.
    pub last: Option<AttemptOutcome>,
}

impl Attempts {
    /// Counts a call that has ended.
    pub fn count(&mut self, fate: AttemptOutcome) {
        self.last = Some(fate);
        match Verdict::of(fate) {
            Verdict::NotRun => self.not_run += 1,
            Verdict::MayHaveRun | Verdict::Ran => self.run += 1,
        }
    }

    /// Whether any call may have run.
    pub fn may_have_run(&self) -> bool {
        self.run > 0
    }

    /// Whether another call could follow the one that is about to leave, were its answer lost.
    pub fn more_after_this(&self, repeats: Repeats, max_attempts: u32) -> bool {
        repeats == Repeats::Allowed && self.run + 1 < max_attempts
    }

    /// Whether another call is allowed. The proxy's own end of a call (`Cancelled`) is final.
    pub fn allow_another(&self, repeats: Repeats, max_attempts: u32) -> bool {
        if self.last == Some(AttemptOutcome::Cancelled) {
            return false;
        }
        let once = repeats == Repeats::Forbidden && self.may_have_run();
        !once && self.run < max_attempts.max(1) && self.not_run <= MOST_NOT_RUN
    }
}
