//! Conversion of times to ages.
//!
//! The behaviour of a member depends on how long ago events happened, not on absolute times, and
//! ages beyond the longest timeout are equivalent. The parts of a member return copies of
//! themselves in which an age replaces each time, so that an exploration of all states recognises a
//! state that it has visited before (`ChainMember::canonical_state`).

use crate::effect::Millis;
use crate::timing::VOTER_REMOVAL_TIMEOUT;

/// Upper bound of all ages: members compare ages with no longer timeout. (The failure detector
/// removes peers later than this, but such a peer has timed out long before.)
const MAX_AGE: Millis = VOTER_REMOVAL_TIMEOUT;

/// Time since `at`, at most [`MAX_AGE`].
pub(crate) fn age(at: Millis, now: Millis) -> Millis {
    now.saturating_sub(at).min(MAX_AGE)
}

/// Time since `at`, at most [`MAX_AGE`]; `None` if there is no such time.
pub(crate) fn age_of(at: Option<Millis>, now: Millis) -> Option<Millis> {
    at.map(|at| age(at, now))
}

/// Time from `now` until `at`; 0 if `at` has passed.
pub(crate) fn remaining(at: Millis, now: Millis) -> Millis {
    at.saturating_sub(now)
}
