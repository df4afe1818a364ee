//! Observations of a run, as far as the invariants need them. Events, targets, lanes and forwarders
//! have numbers that the reporter chooses.

/// Milliseconds with fractions.
pub type Ms = f64;

/// The effect of a repeat of an event at its destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// A repeat does no harm.
    Idempotent,
    /// A repeat is recognized for a while.
    Deduplicated {
        /// Milliseconds after the first attempt in which a repeat is recognized.
        window: Ms,
        /// Whether repeats are recognized in one group of targets only, not in all.
        one_group: bool,
    },
    /// A repeat may have its effect a second time.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a client may submit an event again after the event may have run.
    pub(crate) fn allows_resubmission(self) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { one_group, .. } => !one_group,
            Idempotency::NonIdempotent => false,
        }
    }
}

/// The result with which an event was completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Delivered.
    Completed,
    /// Not delivered, and its client may submit it again.
    Rejected,
    /// Not delivered, though it may have run.
    Abandoned,
}

/// The result of an attempt for the forwarder that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Answered with success.
    Delivered,
    /// Certainly not executed: rejected, not connected, cancelled unsent.
    NotExecuted,
    /// Answered with an error: may have run, and is no longer executing at the destination.
    Error,
    /// Timed out, reset or cancelled: may have run, and may still be executing.
    CutShort,
}

/// An entry in the history of a run.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A forwarder accepted an event and has to complete it.
    Accepted {
        /// The forwarder that accepted the event.
        forwarder: u32,
        /// The event.
        event: u64,
        /// Identifies the effect at the destination: the same for all events with one effect, such
        /// as an event that its client submits again.
        origin: u64,
        /// The effect of a repeat.
        idempotency: Idempotency,
        /// The order key.
        key: Option<u64>,
        /// Time by which the event has to be completed.
        deadline: Ms,
    },
    /// The first byte of a call with this event is sent.
    AttemptSent {
        /// The sender.
        forwarder: u32,
        /// The event.
        event: u64,
        /// The target of the call.
        target: u32,
        /// The group of targets in which repeats are recognized.
        group: u32,
        /// The lane: the targets that share one limit and one retry-after.
        lane: u32,
    },
    /// A health check is sent.
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
        /// The result of the attempt.
        outcome: AttemptEnd,
    },
    /// An event was completed.
    Completed {
        /// The forwarder that completed the event.
        forwarder: u32,
        /// The event.
        event: u64,
        /// The result of the event.
        completion: Completion,
        /// Whether the client is notified of the completion, which then counts only with the
        /// following [`Observation::CompletionAcknowledged`].
        by_notification: bool,
    },
    /// The client acknowledged the notification of a completion.
    CompletionAcknowledged {
        /// The event.
        event: u64,
    },
    /// The event took effect at its destination.
    EffectApplied {
        /// The event.
        event: u64,
        /// The effect, as in [`Observation::Accepted`].
        origin: u64,
        /// The effect of a repeat.
        idempotency: Idempotency,
    },
    /// A forwarder received a target's state from the endpoint list.
    EndpointListed {
        /// The forwarder.
        forwarder: u32,
        /// The target.
        target: u32,
        /// Whether the target is draining or removed; otherwise it accepts calls.
        is_draining: bool,
    },
    /// A forwarder received a retry-after: it must send nothing to the lane before the given time.
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
    /// A lane that was warming up was overloaded.
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
    /// The forwarder cannot act: it has ended or is stalled. Its events still have to be completed.
    Halted {
        /// The forwarder.
        forwarder: u32,
    },
    /// The forwarder acts again.
    Resumed {
        /// The forwarder.
        forwarder: u32,
        /// Whether the forwarder is a new process, without the retry-afters of the last one.
        is_new_process: bool,
    },
    /// The client of an event received no response to its submission. The event may have been
    /// accepted or not, and need not be completed. All other invariants apply to the event.
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
    /// The forwarder no longer sends the subscriber its copies of broadcasts.
    ServiceEnded {
        /// The forwarder.
        forwarder: u32,
        /// The subscriber.
        subscriber: u32,
    },
    /// The event was lost with the forwarder's machine, and its client is informed.
    EventLost {
        /// The event.
        event: u64,
    },
}
