//! The deadlines of a graceful shutdown: a process that was told to end (SIGTERM) and is killed
//! after a grace period.
//!
//! The proxy makes a [`Shutdown`] when the signal comes, hands it to
//! [`crate::node::NodeDrain::step`], and asks it which requests still begin.

use std::time::Duration;

/// The platform asks every second whether a node is ready and stops sending clients after two
/// misses; a third second is for the clients that are on their way.
const CLIENT_REDIRECT_DELAY: Duration = Duration::from_secs(3);
/// Requests that arrive this soon after the signal are admitted however long they may take: most
/// responses take a fraction of their timeout, and a client that is rejected here may be sent here
/// again.
const UNCONDITIONAL_ADMISSION: Duration = Duration::from_millis(2_900);
/// The process exits at least this long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Turns that were reset are committed within this time; the stores take some milliseconds.
pub(crate) const COMMIT_TIMEOUT: Duration = Duration::from_millis(250);
/// A response that is complete may still wait in the process for a client that reads slowly.
pub(crate) const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// The deadlines of a process that was told to end. All times are on the clock of
/// [`crate::node::NodeDrain::step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// The platform may still send new clients here until then.
    pub accept_until: Duration,
    /// Every request is admitted until then.
    pub admit_all_until: Duration,
    /// Every response has to be complete by then.
    pub response_deadline: Duration,
}

impl Shutdown {
    /// The deadlines of a process that is told at `signalled_at` to end, and is killed `grace`
    /// later.
    pub fn new(signalled_at: Duration, grace: Duration) -> Self {
        let for_responses = grace.saturating_sub(KILL_MARGIN + COMMIT_TIMEOUT + FLUSH_DELAY);
        let response_deadline = signalled_at + for_responses;
        Shutdown {
            accept_until: response_deadline.min(signalled_at + CLIENT_REDIRECT_DELAY),
            admit_all_until: response_deadline.min(signalled_at + UNCONDITIONAL_ADMISSION),
            response_deadline,
        }
    }

    /// Whether a request that arrived at `arrived` and may take until `deadline` begins here.
    ///
    /// A later request that would not be complete in time is better served by another node from its
    /// start than reset here.
    pub fn admits(&self, arrived: Duration, deadline: Duration) -> bool {
        arrived < self.admit_all_until || deadline <= self.response_deadline
    }
}
