//! What can happen, as far as an invariant asks for it. Events, targets, lanes and forwarders have
//! numbers that the reporter chooses.

/// Milliseconds with fractions.
pub type Ms = f64;

/// What a repeat of an event does at its destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// A repeat does no harm.
    Idempotent,
    /// A repeat is recognized for a while.
    Deduplicated {
        /// Milliseconds after the first attempt in which a repeat is recognized.
        window: Ms,
        /// Repeats are recognized in one group of targets only, not in all.
        one_group: bool,
    },
    /// A repeat may have its effect a second time.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a client may submit an event again that may have run.
    pub(crate) fn allows_resubmission(self) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { one_group, .. } => !one_group,
            Idempotency::NonIdempotent => false,
        }
    }
}

/// How an event was completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Delivered.
    Completed,
    /// Not delivered, and its client may submit it again.
    Rejected,
    /// Not delivered, though it may have run.
    Abandoned,
}

/// How an attempt ended for the forwarder that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Answered with success.
    Delivered,
    /// Surely not executed: rejected, not connected, cancelled unsent.
    NotExecuted,
    /// Answered with an error: may have run, and is over at the destination.
    Error,
    /// Timed out, reset or cancelled: may have run, and may still be executing.
    CutShort,
}

/// One entry of a run's history.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A forwarder accepted an event and owes its completion.
    Accepted {
        /// The forwarder that accepted the event.
        forwarder: u32,
        /// The event.
        event: u64,
        /// The same for all events that stand for one effect at the destination, as when a client
        /// submits an event again.
        origin: u64,
        /// What a repeat does.
        idempotency: Idempotency,
        /// The order key.
        key: Option<u64>,
        /// When the event has to be completed.
        deadline: Ms,
    },
    /// The first byte of a call with this event leaves.
    AttemptSent {
        /// The sender.
        forwarder: u32,
        /// The event.
        event: u64,
        /// The target of the call.
        target: u32,
        /// The group of targets in which repeats are recognized.
        group: u32,
        /// The targets that share one limit and one retry-after.
        lane: u32,
    },
    /// A health check leaves.
    HealthCheckSent {
        /// The sender.
        forwarder: u32,
        /// The target.
        target: u32,
        /// The target's lane.
        lane: u32,
    },
    /// An attempt ended for its forwarder.
    AttemptEnded {
        /// The sender.
        forwarder: u32,
        /// The event.
        event: u64,
        /// How the attempt ended.
        outcome: AttemptEnd,
    },
    /// An event was completed.
    Completed {
        /// The forwarder that completed the event.
        forwarder: u32,
        /// The event.
        event: u64,
        /// How the event was completed.
        completion: Completion,
        /// The completion counts only with the [`Observation::CompletionAcknowledged`] that
        /// follows.
        by_notification: bool,
    },
    /// The client acknowledged the notification of a completion.
    CompletionAcknowledged {
        /// The event.
        event: u64,
    },
    /// The effect of the event came about at its destination.
    EffectApplied {
        /// The event.
        event: u64,
        /// The effect, as in [`Observation::Accepted`].
        origin: u64,
        /// What a repeat does.
        idempotency: Idempotency,
    },
    /// A forwarder learned from the endpoint list of a target's state.
    EndpointListed {
        /// The forwarder.
        forwarder: u32,
        /// The target.
        target: u32,
        /// The target drains or is removed; otherwise it takes calls.
        is_draining: bool,
    },
    /// A forwarder was asked to send nothing to the lane before then.
    RetryAfterReceived {
        /// The forwarder.
        forwarder: u32,
        /// The lane.
        lane: u32,
        /// The end of the retry-after.
        until: Ms,
    },
    /// Most calls to the lane fail from now on.
    OutageBegan {
        /// The lane.
        lane: u32,
    },
    /// A call or health check of the forwarder failed at the lane or was rejected.
    FailureObserved {
        /// The forwarder.
        forwarder: u32,
        /// The lane.
        lane: u32,
    },
    /// A lane that was warming up fell over.
    Overloaded {
        /// The lane.
        lane: u32,
        /// The load by forwarder.
        load: Vec<(u32, f64)>,
    },
    /// The lane has its full capacity again.
    WarmedUp {
        /// The lane.
        lane: u32,
    },
    /// The forwarder cannot act: it is dead or stalled. It still owes what it owed.
    Halted {
        /// The forwarder.
        forwarder: u32,
    },
    /// The forwarder acts again.
    Resumed {
        /// The forwarder.
        forwarder: u32,
        /// It is a new process, which does not know the retry-afters of the last.
        is_new_process: bool,
    },
    /// The client of an event heard no answer to its submission. Whether the event was accepted is
    /// open, and no completion is owed. All else holds for the event.
    AcceptanceUnconfirmed {
        /// The event.
        event: u64,
    },
    /// The target's limit of connections from all forwarders together, idle ones included.
    ConnectionLimitSet {
        /// The target.
        target: u32,
        /// The limit.
        limit: u32,
    },
    /// A connection was opened.
    ConnectionOpened {
        /// The forwarder.
        forwarder: u32,
        /// The target.
        target: u32,
    },
    /// A connection was closed.
    ConnectionClosed {
        /// The forwarder.
        forwarder: u32,
        /// The target.
        target: u32,
    },
    /// The forwarder sends the subscriber its copies of broadcasts from now on.
    ServiceStarted {
        /// The forwarder.
        forwarder: u32,
        /// The subscriber.
        subscriber: u32,
    },
    /// The forwarder does so no more.
    ServiceEnded {
        /// The forwarder.
        forwarder: u32,
        /// The subscriber.
        subscriber: u32,
    },
    /// The event was lost with the forwarder's machine, and its client knows.
    EventLost {
        /// The event.
        event: u64,
    },
}
