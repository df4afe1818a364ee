//! The end of a process that was asked for, as the drain of its node sees it.

use std::time::Duration;

/// The platform asks every second whether a node is ready and stops sending clients after two misses; a third second for
/// the ones that are on their way.
const CLIENTS_STILL_COME: Duration = Duration::from_secs(3);
/// What comes so long after the request to end is begun whatever time it may take: most replies take a fraction of the
/// longest, and a client that is refused here may be sent here again.
const ALL_BEGUN: Duration = Duration::from_millis(2_900);
/// The process is gone this long before it would be killed.
const BEFORE_KILL: Duration = Duration::from_millis(300);
/// Turns that were cut are settled in this time; the stores take some milliseconds.
pub(crate) const LAST_SETTLEMENTS: Duration = Duration::from_millis(250);
/// A reply that is finished may still wait in the process for a client that reads slowly.
pub(crate) const LAST_WRITES: Duration = Duration::from_millis(100);

/// When a process that was told to end stops what. All times are on the clock of [`crate::node::NodeDrain::step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// New clients may still be sent here until then.
    pub accept_until: Duration,
    /// Until then every request is begun.
    pub admit_all_until: Duration,
    /// Every reply has to be over by then.
    pub response_deadline: Duration,
}

impl Shutdown {
    /// For a process that is told at `asked` to end, and is killed `grace` later.
    pub fn new(asked: Duration, grace: Duration) -> Self {
        let for_replies = grace.saturating_sub(BEFORE_KILL + LAST_SETTLEMENTS + LAST_WRITES);
        let replies_end = asked + for_replies;
        Shutdown {
            accept_until: replies_end.min(asked + CLIENTS_STILL_COME),
            admit_all_until: replies_end.min(asked + ALL_BEGUN),
            response_deadline: replies_end,
        }
    }

    /// Whether a request that came at `arrived` and may take until `deadline` is begun here. Later ones that would not
    /// be over in time are better served by another node from their start than cut here.
    pub fn admits(&self, arrived: Duration, deadline: Duration) -> bool {
        arrived < self.admit_all_until || deadline <= self.response_deadline
    }
}
