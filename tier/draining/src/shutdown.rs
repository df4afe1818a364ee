//! The deadlines of a graceful shutdown: a process receives SIGTERM and is killed after a grace
//! period.
//!
//! The proxy creates a [`Shutdown`] when it receives the signal, passes it to
//! [`crate::node::NodeDrain::step`], and uses [`Shutdown::admits`] to decide which requests are
//! still admitted.

use std::time::Duration;

/// The platform probes the readiness of a node every second and stops sending clients after two
/// failed probes; a third second is for clients that are already on their way.
const CLIENT_REDIRECT_DELAY: Duration = Duration::from_secs(3);
/// Requests that arrive within this time after the signal are admitted whatever their deadline:
/// most responses take a fraction of their timeout, and a client that is rejected may be sent to
/// this node again.
const UNCONDITIONAL_ADMISSION: Duration = Duration::from_millis(2_900);
/// The process exits at least this long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Time to commit the turns whose responses were reset; the stores take a few milliseconds.
pub(crate) const COMMIT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time from the first moment without requests in flight until the exit: a complete response may
/// still be buffered in the process for a client that reads slowly.
pub(crate) const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// The deadlines of a process that has received SIGTERM. All times are on the clock of
/// [`crate::node::NodeDrain::step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Until then, the platform may still send new clients to this node.
    pub accept_until: Duration,
    /// Until then, every request is admitted.
    pub admit_all_until: Duration,
    /// By then, every response has to be complete.
    pub response_deadline: Duration,
}

impl Shutdown {
    /// Computes the deadlines of a process that receives SIGTERM at `signalled_at` and is killed
    /// `grace` later.
    pub fn new(signalled_at: Duration, grace: Duration) -> Self {
        let for_responses = grace.saturating_sub(KILL_MARGIN + COMMIT_TIMEOUT + FLUSH_DELAY);
        let response_deadline = signalled_at + for_responses;
        Shutdown {
            accept_until: response_deadline.min(signalled_at + CLIENT_REDIRECT_DELAY),
            admit_all_until: response_deadline.min(signalled_at + UNCONDITIONAL_ADMISSION),
            response_deadline,
        }
    }

    /// Whether to admit a request that arrived at `arrived` and may take until `deadline`.
    ///
    /// A request that arrives after `admit_all_until` and may not complete in time is rejected: it
    /// is better served by another node from its start than reset by this one.
    pub fn admits(&self, arrived: Duration, deadline: Duration) -> bool {
        arrived < self.admit_all_until || deadline <= self.response_deadline
    }
}
