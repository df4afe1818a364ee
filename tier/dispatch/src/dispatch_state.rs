//! The state that the scheduler's decisions change: requests, targets and the random number
//! generator. Owned by the dispatcher; the command writer borrows it during an iteration of the
//! scheduler.

use std::collections::HashMap;

use plankhill_decisions::interface::DestinationId;

use crate::allocation::Allocator;
use crate::pending_requests::PendingRequests;
use crate::queue_timeouts::QueueTimeouts;
use crate::rng::Rng;
use crate::targets::Targets;

/// Requests, targets and the random number generator.
pub(crate) struct DispatchState {
    pub(crate) requests: PendingRequests,
    pub(crate) targets: Targets,
    /// For each service, the mix of its prompts and the targets that cache their prefixes.
    pub(crate) allocators: HashMap<DestinationId, Allocator>,
    pub(crate) queue_timeouts: QueueTimeouts,
    pub(crate) rng: Rng,
}

impl DispatchState {
    /// Creates a state without requests and targets.
    pub(crate) fn new(seed: u64) -> Self {
        DispatchState {
            requests: PendingRequests::default(),
            targets: Targets::default(),
            allocators: HashMap::new(),
            queue_timeouts: QueueTimeouts::default(),
            rng: Rng::new(seed),
        }
    }
}
