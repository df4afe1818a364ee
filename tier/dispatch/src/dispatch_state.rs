//! The state that decisions are carried out on: requests, targets and the random source. Owned by
//! the dispatcher; the command writer borrows it during an iteration of the scheduler.

use std::collections::HashMap;

use plankhill_decisions::interface::DestinationId;

use crate::allocation::Allocator;
use crate::pending_requests::PendingRequests;
use crate::queue_timeouts::QueueTimeouts;
use crate::rng::Rng;
use crate::targets::Targets;

/// Requests, targets and the random source.
pub(crate) struct DispatchState {
    pub(crate) requests: PendingRequests,
    pub(crate) targets: Targets,
    /// For each service, the mix of its prompts and the targets that cache them.
    pub(crate) allocators: HashMap<DestinationId, Allocator>,
    pub(crate) queue_timeouts: QueueTimeouts,
    pub(crate) rng: Rng,
}

impl DispatchState {
    /// No request and no target yet.
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
