//! The checker's records of events, keys, forwarders, effects, targets and subscribers.

use std::collections::{HashMap, VecDeque};

use crate::observation::{Idempotency, Ms};

/// When an attempt was sent, and to which group of targets.
#[derive(Clone, Copy)]
pub(super) struct SentAttempt {
    pub(super) at: Ms,
    pub(super) group: u32,
}

/// An accepted event whose record is still needed.
pub(super) struct PendingEvent {
    /// The forwarder that accepted the event. The event stays in that forwarder's queue of its key,
    /// whichever forwarder owns the event now.
    pub(super) accepted_by: u32,
    pub(super) idempotency: Idempotency,
    pub(super) key: Option<u64>,
    pub(super) deadline: Ms,
    pub(super) in_flight: bool,
    /// The first attempt that may have run.
    pub(super) may_have_run: Option<SentAttempt>,
    pub(super) last_attempt: SentAttempt,
    pub(super) is_completed: bool,
    pub(super) awaits_acknowledgement: bool,
    /// The client received no response: the event may have been accepted or not, and no completion
    /// is required.
    pub(super) is_unconfirmed: bool,
}

impl PendingEvent {
    pub(super) fn queue_id(&self) -> Option<KeyQueueId> {
        let forwarder = self.accepted_by;
        self.key.map(|key| KeyQueueId { forwarder, key })
    }

    pub(super) fn requires_completion(&self) -> bool {
        !self.is_completed && !self.is_unconfirmed
    }
}

/// Identifies the queue of one order key at one forwarder.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct KeyQueueId {
    pub(super) forwarder: u32,
    pub(super) key: u64,
}

/// The events of one order key at one forwarder, in the order of acceptance.
#[derive(Default)]
pub(super) struct KeyQueue {
    pub(super) events: VecDeque<u64>,
    pub(super) cooldown_ends: Ms,
    /// The event whose attempt was cut short; its own retry does not wait for the cool-down.
    pub(super) cooldown_for: u64,
}

/// The last period in which a forwarder was halted.
pub(super) struct Halt {
    pub(super) began: Ms,
    /// Infinite while the forwarder is halted.
    pub(super) ended: Ms,
}

/// The drains and retry-afters that a forwarder received, and its halts.
#[derive(Default)]
pub(super) struct ForwarderRecord {
    pub(super) is_halted: bool,
    pub(super) last_halt: Option<Halt>,
    /// Draining targets, with the time at which the forwarder received the drain.
    pub(super) draining_since: HashMap<u32, Ms>,
    /// Times at which retry-afters end, by lane.
    pub(super) retry_after_ends: HashMap<u32, Ms>,
}

/// The first occurrence of an effect.
pub(super) struct AppliedEffect {
    pub(super) at: Ms,
    pub(super) event: u64,
}

/// The connections that forwarders have open at a target.
#[derive(Default)]
pub(super) struct TargetConnections {
    pub(super) limit: Option<u32>,
    pub(super) open_by_forwarder: HashMap<u32, u32>,
}

/// The forwarders that serve a subscriber, in the order in which they started. Only the first one
/// should.
#[derive(Default)]
pub(super) struct SubscriberServers {
    pub(super) forwarders: Vec<u32>,
}
